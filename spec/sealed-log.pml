/*
Model of the sealed log of claims for one idempotency key. Each of three processes may
own the shard for one epoch. It may pause at any point, lose the response to a write,
or be considered dead while it still runs. Process 0 receives two requests with the
key; processes 1 and 2 receive one each.

Compiling with -DNO_name removes the guard of that name; the check must then fail.
*/
#define OWNERS 3
#define SEGMENTS 3
#define segment(e, n) log[(e) * SEGMENTS + (n)]

/* Content of a segment: nothing, a seal, or a claim with its writer. */
#define ABSENT 0
#define SEAL 1
#define claimBy(p) (2 + (p))

/* State of the key as an owner knows it. */
#define FRESH 0
#define RUNNING 1
#define CLAIMED 2
#define WITHDRAWN 3

/* The key-value service: the log, and the ownership record with its epoch. */
byte log[12];
byte epoch;
byte holder = OWNERS;
bool leaseExpired[4];

/* State of each process. */
byte ownEpoch[OWNERS];     /* The epoch that it acquired; 0 for none. */
bool leaseValid[OWNERS];   /* Its lease is valid by its own clock. */
bool serving[OWNERS];      /* It has read the log and accepts requests. */
byte keyState[OWNERS];
byte nextSegment[OWNERS];
bool writePending[OWNERS]; /* The write of a claim got no response, so its outcome is unknown. */
bool writeInFlight[OWNERS];
byte runs;

/* Writes a segment only if it is absent, by one compare-and-swap. */
#define createIfAbsent(e, n, value, written) \
	atomic { written = (segment(e, n) == ABSENT); segment(e, n) = (written -> value : segment(e, n)) }

/* An owner may decide for the key only while its lease is valid and it has seen no seal. */
#ifdef NO_leaseStands
#define current(p) (serving[p])
#else
#define current(p) (serving[p] && leaseValid[p])
#endif

/* One request with the key at an owner. */
proctype Request(byte p) {
	bool written;

	serving[p];
#ifdef NO_noteFirst
	if
	:: keyState[p] == FRESH || keyState[p] == WITHDRAWN
	:: keyState[p] == RUNNING || keyState[p] == CLAIMED -> goto done
	fi;
	keyState[p] = RUNNING;
#else
	/* The lookup and the update of the key's state are one atomic step. */
	atomic {
		if
		:: (keyState[p] == FRESH || keyState[p] == WITHDRAWN) && current(p) -> keyState[p] = RUNNING
		:: else -> goto done
		fi
	}
#endif
	/* One write is in flight at a time, and none starts while the outcome of one is unknown. */
	atomic {
		if
		:: !writeInFlight[p] && !writePending[p] -> writeInFlight[p] = true
		:: writeInFlight[p] || writePending[p] -> goto refuse
		fi
	}
#ifdef NO_claimFirst
	atomic { runs++; assert(runs <= 1) }
	goto done;
#endif
	if
	:: createIfAbsent(ownEpoch[p], nextSegment[p], claimBy(p), written)
	/* The response is lost, before or after the write took effect. */
	:: atomic {
		written = (segment(ownEpoch[p], nextSegment[p]) == ABSENT);
		segment(ownEpoch[p], nextSegment[p]) = (written -> claimBy(p) : segment(ownEpoch[p], nextSegment[p]));
		written = false; writePending[p] = true; writeInFlight[p] = false; goto refuse
	}
	:: atomic { writePending[p] = true; writeInFlight[p] = false; goto refuse }
	fi;
	atomic {
		writeInFlight[p] = false;
#ifndef NO_readBack
		if
		:: !written -> keyState[p] = CLAIMED; serving[p] = false; goto done
		:: else
		fi;
#endif
		nextSegment[p]++
	}
	/* The request is dispatched, possibly much later. It must run at most once, even if another process owns the shard by then. */
	atomic { runs++; assert(runs <= 1) }
	goto done;

refuse:
	atomic {
		if
		/* An owner that is still current replies "not run", so no request with the key may have run yet. */
		:: current(p) -> assert(runs == 0)
		:: else
		fi;
		keyState[p] = WITHDRAWN
	}
done:
	skip
}

/* Retries the write whose outcome is unknown until the outcome is known. */
proctype ResolveWrite(byte p) {
	bool written;
	end: writePending[p];
	createIfAbsent(ownEpoch[p], nextSegment[p], claimBy(p), written);
	atomic {
		if
#ifdef NO_readBack
		:: true -> nextSegment[p]++
#else
		:: written || segment(ownEpoch[p], nextSegment[p]) == claimBy(p) -> nextSegment[p]++
		:: !written && segment(ownEpoch[p], nextSegment[p]) != claimBy(p) -> serving[p] = false
#endif
		fi;
		writePending[p] = false
	}
}

proctype Owner(byte p) {
	byte e, n, previousEpoch;
	bool written, claimFound, isSealed;

	/* The shard can be acquired once the service considers the previous holder's lease expired. */
	atomic { epoch == 0 || leaseExpired[holder] -> previousEpoch = epoch };
	atomic {
		if
#ifdef NO_raise
		:: true ->
#else
		:: epoch == previousEpoch ->
#endif
			epoch = previousEpoch + 1; holder = p; ownEpoch[p] = previousEpoch + 1; leaseValid[p] = true
		:: else -> goto lost
		fi
	}

#ifdef NO_readAfterSeal
	e = 1;
	do
	:: e < ownEpoch[p] ->
		n = 0;
		do
		:: n < SEGMENTS - 1 && segment(e, n) > SEAL -> claimFound = true; n++
		:: else -> break
		od;
		e++
	:: else -> break
	od;
#endif

#ifdef NO_sealAll
	e = (ownEpoch[p] > 1 -> ownEpoch[p] - 1 : 1);
#else
	e = 1;
#endif
	do
	:: e < ownEpoch[p] ->
		n = 0;
		isSealed = false;
		do
		:: !isSealed && n < SEGMENTS && segment(e, n) == ABSENT ->
#ifdef NO_seal
			isSealed = true
#else
			/* Another process may have written the segment since it was read. */
			createIfAbsent(e, n, SEAL, written);
			isSealed = written
#endif
		:: !isSealed && n < SEGMENTS && segment(e, n) == SEAL -> isSealed = true
		:: !isSealed && n < SEGMENTS && segment(e, n) > SEAL ->
#ifndef NO_readAfterSeal
			claimFound = true;
#endif
			n++
		:: isSealed || n == SEGMENTS -> break
		od;
		e++
	:: else -> break
	od;

	atomic {
		keyState[p] = (claimFound -> CLAIMED : FRESH);
		e = 0; n = 0; claimFound = false; written = false; isSealed = false; previousEpoch = 0;
		serving[p] = true
	}
lost:
	skip
}

/* A lease may expire at any time. A process treats its lease as expired before the service does. */
proctype LeaseExpiry(byte p) {
	atomic { ownEpoch[p] != 0 -> leaseValid[p] = false };
	leaseExpired[p] = true
}

init {
	atomic {
		run Owner(0); run Owner(1); run Owner(2);
		run LeaseExpiry(0); run LeaseExpiry(1);
		run ResolveWrite(0); run ResolveWrite(1); run ResolveWrite(2);
		run Request(0); run Request(0); run Request(1); run Request(2)
	}
}
