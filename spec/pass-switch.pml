/*
Model of switching the expert map of a group whose ranks begin each pass together.
The coordinator holds the group at one rank before a pass, arms every rank for that
pass, and releases the group. Coordinators run one after another or concurrently, and
each may stop at any point.

A sent order may be applied at any later time, repeatedly, or not at all. A coordinator
reads the current state of a rank. A rank rejects an order whose fencing token is lower
than the highest token that it has accepted.

Checked for N=2 and for N=3.
Compiling with -DNO_name removes the guard of that name; the check must then fail.
*/
#ifndef N
#define N 2
#endif
#define MAX_PASS 3
#ifndef COORDINATORS
#define COORDINATORS 2
#endif
#define TOKENS (COORDINATORS + 1)
#define at(e, r) ((e) * N + (r))

/* State of each rank. */
byte mapVersion[N];
byte prepared[N];
byte highest[N];
byte armedVersion[N];
byte armedPass[N];
byte token[N];
/* The pass before which rank 0 holds the group; 0 if it is not held. */
byte held;
byte pass;

/* The orders sent, indexed by the coordinator's token. */
bool fenceSent[TOKENS];
bool prepareSent[TOKENS]; byte prepareVersion[TOKENS];
bool holdSent[TOKENS]; byte holdPass[TOKENS];
/* The release that ends the resolution of an earlier switch. A rank may apply it late, during the next switch. */
bool resolveReleaseSent[TOKENS]; byte resolveReleasePass[TOKENS];
/* A rank is disarmed from the version that it was seen armed for. pass-resolve.pml checks that this ends every mix of states. */
bool undoSent[TOKENS]; byte undoVersion[TOKENS]; byte undoArmed[TOKENS * N];
bool armSent[TOKENS]; byte armPass[TOKENS];
/* The withdrawal of the coordinator's own version; undoSent withdraws the versions of an earlier coordinator. */
bool withdrawSent[TOKENS]; byte withdrawVersion[TOKENS];
bool releaseSent[TOKENS]; byte releasePass[TOKENS];
byte lastToken;

#ifdef NO_fenced
#define fenced(e, r) true
#else
#define fenced(e, r) ((e) >= token[r])
#endif

#define recordToken(e, r) token[r] = ((e) > token[r] -> (e) : token[r])

#define RECEIVE(e) \
	:: atomic { fenceSent[e] && fenced(e, r) && token[r] < e -> recordToken(e, r) } \
	:: atomic { prepareSent[e] && fenced(e, r) && armedVersion[r] == 0 && prepareVersion[e] > highest[r] -> \
		prepared[r] = prepareVersion[e]; highest[r] = prepareVersion[e]; recordToken(e, r) } \
	:: atomic { r == 0 && holdSent[e] && fenced(e, r) && held == 0 && pass < holdPass[e] -> held = holdPass[e]; recordToken(e, r) } \
	:: atomic { armSent[e] && fenced(e, r) && armedVersion[r] == 0 && prepared[r] == prepareVersion[e] && pass < armPass[e] -> \
		armedVersion[r] = prepareVersion[e]; armedPass[r] = armPass[e]; recordToken(e, r) } \
	:: atomic { withdrawSent[e] && fenced(e, r) && armedVersion[r] == withdrawVersion[e] -> armedVersion[r] = 0; armedPass[r] = 0; recordToken(e, r) } \
	:: atomic { withdrawSent[e] && fenced(e, r) && armedVersion[r] == 0 && withdrawVersion[e] + 1 > highest[r] -> \
		prepared[r] = withdrawVersion[e] + 1; highest[r] = withdrawVersion[e] + 1; recordToken(e, r) } \
	:: atomic { r == 0 && resolveReleaseSent[e] && fenced(e, r) && held == resolveReleasePass[e] -> held = 0; recordToken(e, r) } \
	:: atomic { undoSent[e] && fenced(e, r) && armedVersion[r] != 0 && armedVersion[r] == undoArmed[at(e, r)] -> armedVersion[r] = 0; armedPass[r] = 0; recordToken(e, r) } \
	:: atomic { undoSent[e] && fenced(e, r) && armedVersion[r] == 0 && undoVersion[e] + 1 > highest[r] -> \
		prepared[r] = undoVersion[e] + 1; highest[r] = undoVersion[e] + 1; recordToken(e, r) } \
	:: atomic { r == 0 && releaseSent[e] && fenced(e, r) && held == releasePass[e] -> held = 0; recordToken(e, r) }

proctype Rank(byte r) {
end:
	do
	RECEIVE(1)
	RECEIVE(2)
#if COORDINATORS > 2
	RECEIVE(3)
#endif
	od
}

#define BEGIN_PASS(r) \
	if \
	:: armedVersion[r] != 0 && armedPass[r] <= pass -> mapVersion[r] = armedVersion[r]; prepared[r] = 0; armedVersion[r] = 0; armedPass[r] = 0 \
	:: else \
	fi;

/* The group may stay idle for any time, so a pass may begin at any time or never. */
proctype Group() {
end:
	do
	:: atomic { pass < MAX_PASS && held != pass + 1 ->
		pass++;
		BEGIN_PASS(0) BEGIN_PASS(1)
#if N > 2
		BEGIN_PASS(2)
#endif
		/* All ranks use the same expert map in each pass. */
		assert(mapVersion[0] == mapVersion[1] && mapVersion[0] == mapVersion[N - 1])
	}
	od
}

#define armedFor(r, v, p) (armedVersion[r] == (v) && armedPass[r] == (p))
#define allArmed(v, p) (armedFor(0, v, p) && armedFor(1, v, p) && armedFor(N - 1, v, p))
#define allFenced(e) (token[0] >= e && token[1] >= e && token[N - 1] >= e)
#define allPrepared(v) (prepared[0] == v && prepared[1] == v && prepared[N - 1] == v)
#define allHighest(v) (highest[0] >= v && highest[1] >= v && highest[N - 1] >= v)
#define noneArmed (armedVersion[0] == 0 && armedVersion[1] == 0 && armedVersion[N - 1] == 0)

/* A version is withdrawn at a rank that is not armed and has prepared a higher version: a late order can no longer arm the rank for it. */
#ifdef NO_sealed
#define isWithdrawn(r, v) (armedVersion[r] == 0)
#else
#define isWithdrawn(r, v) (armedVersion[r] == 0 && highest[r] > (v))
#endif
#define allWithdrawn(v) (isWithdrawn(0, v) && isWithdrawn(1, v) && isWithdrawn(N - 1, v))

#define maxOf(a, b) ((a) > (b) -> (a) : (b))

/* Continues once the condition holds, or stops the coordinator permanently. */
#define awaitOrStop(condition) \
	if \
	:: condition \
	:: goto stopped \
	fi

proctype Coordinator() {
	byte e, highestPrepared, foundVersion, heldPass, attempts;

	atomic { lastToken++; e = lastToken }
	fenceSent[e] = true;
#ifndef NO_fenceFirst
	awaitOrStop(allFenced(e));
#endif

resolve:
	atomic {
		highestPrepared = maxOf(highest[0], maxOf(highest[1], highest[N - 1]));
		foundVersion = maxOf(armedVersion[0], maxOf(armedVersion[1], armedVersion[N - 1]));
		heldPass = held
	}
	if
	:: heldPass == 0 && foundVersion == 0 -> goto switch
	/* The group was released, so every rank is armed and the pass will begin eventually. */
	:: heldPass == 0 && foundVersion != 0 -> awaitOrStop(noneArmed); goto resolve
	:: heldPass != 0
	fi;
	if
	:: foundVersion != 0 && allArmed(foundVersion, heldPass)
	:: else ->
		atomic {
			undoVersion[e] = highestPrepared;
			undoArmed[at(e, 0)] = armedVersion[0]; undoArmed[at(e, 1)] = armedVersion[1]; undoArmed[at(e, N - 1)] = armedVersion[N - 1];
			undoSent[e] = true
		}
		awaitOrStop(allWithdrawn(highestPrepared))
	fi;
	atomic { resolveReleasePass[e] = heldPass; resolveReleaseSent[e] = true }
	awaitOrStop(held != heldPass);
	if
	:: attempts < 2 -> attempts++; goto resolve
	:: else -> goto stopped
	fi;

switch:
	atomic { prepareVersion[e] = highestPrepared + 1; highestPrepared = 0; prepareSent[e] = true }
	awaitOrStop(allPrepared(prepareVersion[e]));
#ifdef NO_passOnce
	atomic { holdPass[e] = pass + 1; holdSent[e] = true }
#else
	/* A late release order may release the pass that was held before, so the hold takes a later pass. */
	atomic { holdPass[e] = (resolveReleasePass[e] > pass -> resolveReleasePass[e] + 1 : pass + 1); holdSent[e] = true }
#endif
#ifndef NO_heldSeen
	awaitOrStop(held == holdPass[e]);
#endif
	atomic { armPass[e] = holdPass[e]; armSent[e] = true }
	if
#ifdef NO_unanimous
	:: armedFor(0, prepareVersion[e], armPass[e])
#else
	:: allArmed(prepareVersion[e], armPass[e])
#endif
	/* The timeout may fire at any time, whatever the ranks have done. */
	:: true ->
		atomic { withdrawVersion[e] = prepareVersion[e]; withdrawSent[e] = true }
		awaitOrStop(allWithdrawn(withdrawVersion[e]))
	:: goto stopped
	fi;
	atomic { releasePass[e] = armPass[e]; releaseSent[e] = true }
	awaitOrStop(held != releasePass[e]);
stopped:
	skip
}

init {
	atomic {
		run Rank(0); run Rank(1);
#if N > 2
		run Rank(2);
#endif
		run Group();
		run Coordinator(); run Coordinator()
#if COORDINATORS > 2
		; run Coordinator()
#endif
	}
}
