/*
The switch of an expert map: ranks that take their steps together, and
coordinators, one after the other or side by side, each of which may stop anywhere.

A message once sent stays in the net: it may arrive late, more than once, in any
order, or never. Orders to one rank pass its gate one at a time; a gate may restart
and then knows only the epoch in the key-value service. Engines ignore fencing
numbers here, so the gate alone refuses old epochs.

Checked for N=2 VERSIONS=2 and for N=3 VERSIONS=2.
Each guard can be taken out with -DNO_name; the check must then fail.
*/
#ifndef N
#define N 2
#endif
#ifndef VERSIONS
#define VERSIONS 2
#endif
#ifndef COORDINATORS
#define COORDINATORS 2
#endif
#define MAX_STEP 3
#define at(e, r) ((e) * N + (r))

#define NONE 0
#define COMMIT 1
#define ABORT 2

/* The key-value service. */
byte storeEpoch;

/* Ranks. */
byte promised[N];
byte held[N];
byte heldStep[N];
byte next[N];
byte nextStep[N];
byte committed[N];
byte aborted[N];
byte step[N];
bool restarted;

/* The net: what each epoch's coordinator has sent, and the replies that it may have had. */
bool promiseSent[16]; bool promiseReply[16];
byte seenChosen[16]; byte seenHeld[16]; byte seenNewest[16];
byte holdVersion[4]; byte holdStep[4];
bool holdSent[16]; bool holdReply[16];
byte decision[4]; byte decisionVersion[4];
bool decisionSent[16]; bool decisionReply[16];
byte recovery[4]; byte recoveryVersion[4];
bool recoverySent[16]; bool recoveryReply[16];

/* What the steps were taken with: 0 for none yet, else the version plus one. */
byte mapAt[MAX_STEP + 1];
bool lastDone;

#define chosen(r) (next[r] != 0 -> next[r] : committed[r])

#ifdef NO_fenced
#define fenced(e, r) true
#else
#define fenced(e, r) ((e) >= promised[r])
#endif

#ifdef NO_notAborted
#define notAborted(r, v) true
#else
#define notAborted(r, v) ((v) > aborted[r])
#endif

#ifdef NO_beforeStep
#define beforeStep(r, s) true
#else
#define beforeStep(r, s) (step[r] < (s))
#endif

#ifdef NO_stopAtStep
#define mayStep(r) true
#else
#define mayStep(r) (held[r] == 0 || heldStep[r] > step[r] + 1)
#endif

#define mayHold(e, r) (fenced(e, r) && notAborted(r, holdVersion[e]) && chosen(r) < holdVersion[e] \
	&& next[r] == 0 && (held[r] == 0 || held[r] == holdVersion[e]) && beforeStep(r, holdStep[e]))

/* A rank commits what it holds or has chosen, and aborts what it has not chosen. */
#define obeys(r, kind, version) (kind == COMMIT -> (chosen(r) >= version || held[r] == version) : chosen(r) < version)

#define obey(r, e, kind, version) \
	if \
	:: kind == COMMIT && chosen(r) < version -> next[r] = version; nextStep[r] = heldStep[r]; held[r] = 0; heldStep[r] = 0 \
	:: kind == COMMIT && chosen(r) >= version \
	:: kind == ABORT -> \
		aborted[r] = (aborted[r] < version -> version : aborted[r]); \
		heldStep[r] = (held[r] == version -> 0 : heldStep[r]); \
		held[r] = (held[r] == version -> 0 : held[r]) \
	fi; \
	promised[r] = e

#define HEARS(e) \
	:: atomic { promiseSent[at(e, r)] && !promiseReply[at(e, r)] && fenced(e, r) -> \
		promised[r] = e; \
		promiseReply[at(e, r)] = true; \
		seenChosen[at(e, r)] = chosen(r); \
		seenHeld[at(e, r)] = held[r]; \
		seenNewest[at(e, r)] = (held[r] > chosen(r) -> held[r] : chosen(r)); \
		seenNewest[at(e, r)] = (aborted[r] > seenNewest[at(e, r)] -> aborted[r] : seenNewest[at(e, r)]) \
	} \
	:: atomic { holdSent[at(e, r)] && mayHold(e, r) && (held[r] == 0 || !holdReply[at(e, r)]) -> \
		held[r] = holdVersion[e]; heldStep[r] = holdStep[e]; \
		promised[r] = e; \
		holdReply[at(e, r)] = true \
	} \
	:: atomic { decisionSent[at(e, r)] && fenced(e, r) && !decisionReply[at(e, r)] && obeys(r, decision[e], decisionVersion[e]) -> \
		obey(r, e, decision[e], decisionVersion[e]); \
		decisionReply[at(e, r)] = true \
	} \
	:: atomic { recoverySent[at(e, r)] && fenced(e, r) && !recoveryReply[at(e, r)] && obeys(r, recovery[e], recoveryVersion[e]) -> \
		obey(r, e, recovery[e], recoveryVersion[e]); \
		recoveryReply[at(e, r)] = true \
	}

proctype Rank(byte r) {
	do
	:: atomic { step[r] < MAX_STEP && step[r] <= step[0] && step[r] <= step[1] && step[r] <= step[N - 1] && mayStep(r) ->
		step[r]++;
		if
		:: next[r] != 0 && nextStep[r] <= step[r] -> committed[r] = next[r]; next[r] = 0
		:: else
		fi;
		/* One expert map in every step. */
		assert(mapAt[step[r]] == 0 || mapAt[step[r]] == committed[r] + 1);
		mapAt[step[r]] = committed[r] + 1
	}
	:: atomic { !restarted && promised[r] != 0 ->
		restarted = true;
#ifdef NO_knownEpoch
		promised[r] = 0
#else
		promised[r] = storeEpoch
#endif
	}
	HEARS(1)
	HEARS(2)
#if COORDINATORS > 2
	HEARS(3)
#endif
	od
}

#define allOf(reply, e) (reply[at(e, 0)] && reply[at(e, 1)] && reply[at(e, N - 1)])

/* What is lost in the net is never delivered; so sending to all in one step leaves nothing out. */
#define LOOK(r) \
	most = (seenChosen[at(e, r)] > most -> seenChosen[at(e, r)] : most); \
	newest = (seenNewest[at(e, r)] > newest -> seenNewest[at(e, r)] : newest); \
	open = (seenHeld[at(e, r)] != 0 -> seenHeld[at(e, r)] : open);

#define tell(sent) \
	atomic { sent[at(e, 0)] = true; sent[at(e, 1)] = true; sent[at(e, N - 1)] = true }

/* A coordinator goes on once all have replied, or stops here for good. */
#define await(reply) \
	if \
	:: allOf(reply, e) \
	:: goto stopped \
	fi

proctype Coordinator() {
	byte e, newest, most, open;

	/* Epochs are given out one by one by compare-and-swap. */
	atomic { storeEpoch++; e = storeEpoch }

	if
	:: e > 1 ->
		tell(promiseSent);
		await(promiseReply);
		atomic {
			LOOK(0) LOOK(1) LOOK(N - 1)
			if
			:: open != 0 || seenChosen[at(e, 0)] != most || seenChosen[at(e, 1)] != most || seenChosen[at(e, N - 1)] != most ->
				recoveryVersion[e] = (open != 0 -> open : most);
#ifdef NO_anyCommitted
				recovery[e] = ABORT
#else
				recovery[e] = (recoveryVersion[e] <= most -> COMMIT : ABORT)
#endif
			:: else
			fi;
			most = 0; open = 0
		}
		if
		:: recovery[e] != NONE ->
			tell(recoverySent);
			await(recoveryReply)
		:: else
		fi
	:: else
	fi;

	if
	:: newest < VERSIONS ->
		atomic {
			holdVersion[e] = newest + 1;
			holdStep[e] = newest + 2;
			newest = 0
		}
		tell(holdSent);
		atomic {
			decisionVersion[e] = holdVersion[e];
			if
#ifdef NO_unanimous
			:: holdReply[at(e, 0)] -> decision[e] = COMMIT
#else
			:: allOf(holdReply, e) -> decision[e] = COMMIT
#endif
			/* A timeout may come at any moment, whatever the ranks have done. */
			:: decision[e] = ABORT
			:: goto stopped
			fi
		}
		tell(decisionSent);
		await(decisionReply)
	:: else
	fi;
	lastDone = (e == COORDINATORS);
stopped:
	skip
}

/* Liveness: when nothing more can happen and the last coordinator has ended its work, the group has taken all its steps. */
proctype Monitor() {
	timeout;
	assert(!lastDone || (step[0] == MAX_STEP && step[1] == MAX_STEP && step[N - 1] == MAX_STEP))
}

init {
	atomic {
		run Rank(0); run Rank(1);
#if N > 2
		run Rank(2);
#endif
		run Coordinator(); run Coordinator();
#if COORDINATORS > 2
		run Coordinator();
#endif
		run Monitor()
	}
}
