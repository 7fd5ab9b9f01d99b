/*
Model of switching a group's expert map. All ranks take each step together.
Coordinators run one after another or concurrently, and each may stop at any point.

A sent message is never removed from the network: it may arrive late, repeatedly, in
any order, or not at all. Each rank has a gate, which applies the orders to the rank
one at a time. A gate may restart; it then knows only the epoch in the key-value
service. The engines in this model ignore fencing tokens, so only the gate rejects
orders of older epochs.

Checked for N=2 VERSIONS=2 and for N=3 VERSIONS=2.
Compiling with -DNO_name removes the guard of that name; the check must then fail.
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

/* State of each rank. Versions and steps are 0 where there is none. */
byte promised[N];
byte held[N];
byte heldStep[N];
byte next[N];
byte nextStep[N];
byte committed[N];
byte aborted[N];
byte step[N];
bool gateRestarted;

/* The network: the messages sent in each epoch and the replies to them. */
bool promiseSent[16]; bool promiseReply[16];
byte seenChosen[16]; byte seenHeld[16]; byte seenNewest[16];
byte holdVersion[4]; byte holdStep[4];
bool holdSent[16]; bool holdReply[16];
byte decision[4]; byte decisionVersion[4];
bool decisionSent[16]; bool decisionReply[16];
byte recovery[4]; byte recoveryVersion[4];
bool recoverySent[16]; bool recoveryReply[16];

/* The map used in each step: its version plus one, or 0 if no rank has taken the step yet. */
byte mapAtStep[MAX_STEP + 1];
bool lastCoordinatorFinished;

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

/* A rank accepts a commit of a version that it holds or has already chosen, and an abort of a version that it has not chosen. */
#define canApply(r, kind, version) (kind == COMMIT -> (chosen(r) >= version || held[r] == version) : chosen(r) < version)

#define applyDecision(r, e, kind, version) \
	if \
	:: kind == COMMIT && chosen(r) < version -> next[r] = version; nextStep[r] = heldStep[r]; held[r] = 0; heldStep[r] = 0 \
	:: kind == COMMIT && chosen(r) >= version \
	:: kind == ABORT -> \
		aborted[r] = (aborted[r] < version -> version : aborted[r]); \
		heldStep[r] = (held[r] == version -> 0 : heldStep[r]); \
		held[r] = (held[r] == version -> 0 : held[r]) \
	fi; \
	promised[r] = e

#define RECEIVE(e) \
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
	:: atomic { decisionSent[at(e, r)] && fenced(e, r) && !decisionReply[at(e, r)] && canApply(r, decision[e], decisionVersion[e]) -> \
		applyDecision(r, e, decision[e], decisionVersion[e]); \
		decisionReply[at(e, r)] = true \
	} \
	:: atomic { recoverySent[at(e, r)] && fenced(e, r) && !recoveryReply[at(e, r)] && canApply(r, recovery[e], recoveryVersion[e]) -> \
		applyDecision(r, e, recovery[e], recoveryVersion[e]); \
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
		/* All ranks use the same expert map in each step. */
		assert(mapAtStep[step[r]] == 0 || mapAtStep[step[r]] == committed[r] + 1);
		mapAtStep[step[r]] = committed[r] + 1
	}
	:: atomic { !gateRestarted && promised[r] != 0 ->
		gateRestarted = true;
#ifdef NO_knownEpoch
		promised[r] = 0
#else
		promised[r] = storeEpoch
#endif
	}
	RECEIVE(1)
	RECEIVE(2)
#if COORDINATORS > 2
	RECEIVE(3)
#endif
	od
}

#define allOf(reply, e) (reply[at(e, 0)] && reply[at(e, 1)] && reply[at(e, N - 1)])

#define COLLECT(r) \
	highestChosen = (seenChosen[at(e, r)] > highestChosen -> seenChosen[at(e, r)] : highestChosen); \
	newest = (seenNewest[at(e, r)] > newest -> seenNewest[at(e, r)] : newest); \
	heldVersion = (seenHeld[at(e, r)] != 0 -> seenHeld[at(e, r)] : heldVersion);

/* Sends to all ranks in one step. Partial delivery is still covered, because a sent message may never be delivered. */
#define sendToAll(sent) \
	atomic { sent[at(e, 0)] = true; sent[at(e, 1)] = true; sent[at(e, N - 1)] = true }

/* Continues once every rank has replied, or stops the coordinator permanently. */
#define awaitOrStop(reply) \
	if \
	:: allOf(reply, e) \
	:: goto stopped \
	fi

proctype Coordinator() {
	byte e, newest, highestChosen, heldVersion;

	/* Compare-and-swap assigns each epoch to one coordinator. */
	atomic { storeEpoch++; e = storeEpoch }

	if
	:: e > 1 ->
		sendToAll(promiseSent);
		awaitOrStop(promiseReply);
		atomic {
			COLLECT(0) COLLECT(1) COLLECT(N - 1)
			if
			:: heldVersion != 0 || seenChosen[at(e, 0)] != highestChosen || seenChosen[at(e, 1)] != highestChosen || seenChosen[at(e, N - 1)] != highestChosen ->
				recoveryVersion[e] = (heldVersion != 0 -> heldVersion : highestChosen);
#ifdef NO_anyCommitted
				recovery[e] = ABORT
#else
				recovery[e] = (recoveryVersion[e] <= highestChosen -> COMMIT : ABORT)
#endif
			:: else
			fi;
			highestChosen = 0; heldVersion = 0
		}
		if
		:: recovery[e] != NONE ->
			sendToAll(recoverySent);
			awaitOrStop(recoveryReply)
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
		sendToAll(holdSent);
		atomic {
			decisionVersion[e] = holdVersion[e];
			if
#ifdef NO_unanimous
			:: holdReply[at(e, 0)] -> decision[e] = COMMIT
#else
			:: allOf(holdReply, e) -> decision[e] = COMMIT
#endif
			/* The timeout may fire at any time, whatever the ranks have done. */
			:: decision[e] = ABORT
			:: goto stopped
			fi
		}
		sendToAll(decisionSent);
		awaitOrStop(decisionReply)
	:: else
	fi;
	lastCoordinatorFinished = (e == COORDINATORS);
stopped:
	skip
}

/* Liveness: if no transition is enabled and the last coordinator has finished, the group has taken all its steps. */
proctype Monitor() {
	timeout;
	assert(!lastCoordinatorFinished || (step[0] == MAX_STEP && step[1] == MAX_STEP && step[N - 1] == MAX_STEP))
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
