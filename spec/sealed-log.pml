/*
The sealed log of claims for one key: three processes that each may own the shard
for one epoch, pause anywhere, lose the answer of a write, or be believed dead
while they live. Two arrivals of the key come to the first, one to each other.

Each guard can be taken out with -DNO_name; the check must then fail.
*/
#define OWNERS 3
#define CELLS 3
#define cell(e, n) log[(e) * CELLS + (n)]

/* What stands in a segment: nothing, a seal, or a claim with its writer. */
#define ABSENT 0
#define SEAL 1
#define claimBy(p) (2 + (p))

/* What an owner knows of the key. */
#define FRESH 0
#define RUNNING 1
#define CLAIMED 2
#define WITHDRAWN 3

/* The key-value service: the log, and the ownership with its epoch. */
byte log[12];
byte epoch;
byte holder = OWNERS;
bool leaseGone[4];

/* Each process, by its number. */
byte own[OWNERS];         /* The epoch it took. */
bool believes[OWNERS];    /* Whether its lease stands by its own clock. */
bool open[OWNERS];        /* It has read the log and serves. */
byte known[OWNERS];
byte index[OWNERS];
bool pending[OWNERS];     /* A claim's write got no answer, and its fate is not known. */
bool writing[OWNERS];
byte runs;

/* Create-if-absent: one key, one compare-and-swap. */
#define create(e, n, value, written) \
	atomic { written = (cell(e, n) == ABSENT); cell(e, n) = (written -> value : cell(e, n)) }

/* Whether an owner may speak for the key: its lease stands, and it has seen no seal. */
#ifdef NO_leaseStands
#define current(p) (open[p])
#else
#define current(p) (open[p] && believes[p])
#endif

/* One arrival of the key at an owner. */
proctype Arrival(byte p) {
	bool written;

	open[p];
#ifdef NO_noteFirst
	if
	:: known[p] == FRESH || known[p] == WITHDRAWN
	:: known[p] == RUNNING || known[p] == CLAIMED -> goto done
	fi;
	known[p] = RUNNING;
#else
	/* Looked at and noted in one turn. */
	atomic {
		if
		:: (known[p] == FRESH || known[p] == WITHDRAWN) && current(p) -> known[p] = RUNNING
		:: else -> goto done
		fi
	}
#endif
	/* One segment in flight; while one is pending nothing can follow it. */
	atomic {
		if
		:: !writing[p] && !pending[p] -> writing[p] = true
		:: writing[p] || pending[p] -> goto refuse
		fi
	}
#ifdef NO_claimFirst
	atomic { runs++; assert(runs <= 1) }
	goto done;
#endif
	if
	:: create(own[p], index[p], claimBy(p), written)
	/* The answer is lost, before or after the write took effect. */
	:: atomic {
		written = (cell(own[p], index[p]) == ABSENT);
		cell(own[p], index[p]) = (written -> claimBy(p) : cell(own[p], index[p]));
		written = false; pending[p] = true; writing[p] = false; goto refuse
	}
	:: atomic { pending[p] = true; writing[p] = false; goto refuse }
	fi;
	atomic {
		writing[p] = false;
#ifndef NO_readBack
		if
		:: !written -> known[p] = CLAIMED; open[p] = false; goto done
		:: else
		fi;
#endif
		index[p]++
	}
	/* Dispatched, perhaps long after, and at most once whoever owns the shard by now. */
	atomic { runs++; assert(runs <= 1) }
	goto done;

refuse:
	atomic {
		if
		/* "Not run" is true of the key at this moment. */
		:: current(p) -> assert(runs == 0)
		:: else
		fi;
		known[p] = WITHDRAWN
	}
done:
	skip
}

/* Writes the segment whose fate is open again, until it is known. */
proctype Settle(byte p) {
	bool written;
	end: pending[p];
	create(own[p], index[p], claimBy(p), written);
	atomic {
		if
#ifdef NO_readBack
		:: true -> index[p]++
#else
		:: written || cell(own[p], index[p]) == claimBy(p) -> index[p]++
		:: !written && cell(own[p], index[p]) != claimBy(p) -> open[p] = false
#endif
		fi;
		pending[p] = false
	}
}

proctype Owner(byte p) {
	byte e, n, before;
	bool written, seen, seal;

	/* Taken once the holder before has lost its lease, as far as the service knows. */
	atomic { epoch == 0 || leaseGone[holder] -> before = epoch };
	atomic {
		if
#ifdef NO_raise
		:: true ->
#else
		:: epoch == before ->
#endif
			epoch = before + 1; holder = p; own[p] = before + 1; believes[p] = true
		:: else -> goto lost
		fi
	}

#ifdef NO_readAfterSeal
	e = 1;
	do
	:: e < own[p] ->
		n = 0;
		do
		:: n < CELLS - 1 && cell(e, n) > SEAL -> seen = true; n++
		:: else -> break
		od;
		e++
	:: else -> break
	od;
#endif

#ifdef NO_sealAll
	e = (own[p] > 1 -> own[p] - 1 : 1);
#else
	e = 1;
#endif
	do
	:: e < own[p] ->
		n = 0;
		seal = false;
		do
		:: !seal && n < CELLS && cell(e, n) == ABSENT ->
#ifdef NO_seal
			seal = true
#else
			/* Another may have written here since it was looked at. */
			create(e, n, SEAL, written);
			seal = written
#endif
		:: !seal && n < CELLS && cell(e, n) == SEAL -> seal = true
		:: !seal && n < CELLS && cell(e, n) > SEAL ->
#ifndef NO_readAfterSeal
			seen = true;
#endif
			n++
		:: seal || n == CELLS -> break
		od;
		e++
	:: else -> break
	od;

	atomic {
		known[p] = (seen -> CLAIMED : FRESH);
		e = 0; n = 0; seen = false; written = false; seal = false; before = 0;
		open[p] = true
	}
lost:
	skip
}

/* Leases lapse at any time; a process stops believing in its own before the service lets it go. */
proctype Clock(byte p) {
	atomic { own[p] != 0 -> believes[p] = false };
	leaseGone[p] = true
}

init {
	atomic {
		run Owner(0); run Owner(1); run Owner(2);
		run Clock(0); run Clock(1);
		run Settle(0); run Settle(1); run Settle(2);
		run Arrival(0); run Arrival(0); run Arrival(1); run Arrival(2)
	}
}
