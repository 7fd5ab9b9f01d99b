/*
Model of the configuration head. Three operators change it by compare-and-swap and
may lose the response. Three readers learn the head from the store or from each other.

Compiling with -DNO_name removes the guard of that name; the check must then fail.
*/
#define OPERATORS 3
#define READERS 3
#define MAX_ATTEMPTS 2
#define MAX_REVISION 7

byte revision;                    /* Current revision of the head in the key-value service. */
byte changedBy[MAX_REVISION];     /* The operator whose change created each revision. */
byte applied[READERS];            /* The revision that each reader has applied. */
byte inTransit[READERS];          /* A revision in transit to each reader, or 0. */
byte accepted;                    /* Unused: reportedAccepted holds the result of each operator. */
bool reportedAccepted[OPERATORS + 1];

inline findChange(self, result) {
	result = false;
	for (i : 1 .. MAX_REVISION - 1) {
		if
		:: i <= revision && changedBy[i] == self -> result = true
		:: else
		fi
	}
	i = 0
}

proctype Operator(byte self) {
	byte readRevision, attempts, i;
	bool isApplied;

	do
	:: attempts < MAX_ATTEMPTS ->
		attempts++;
		atomic {
			readRevision = revision;
			findChange(self, isApplied)
		}
#ifndef NO_settled
		/* The operator finds its own change applied: the response to an earlier attempt was lost. */
		if
		:: isApplied -> reportedAccepted[self] = true; break
		:: else
		fi;
#endif
		atomic {
			if
#ifdef NO_swap
			:: true ->
#else
			:: revision == readRevision ->
#endif
				revision = readRevision + 1;
				changedBy[revision] = self;
				isApplied = true
			:: else -> isApplied = false
			fi
		}
		if
		:: isApplied -> reportedAccepted[self] = true; break
		/* The response is lost. */
		:: isApplied = false
		:: !isApplied
		fi
	:: else -> break
	od;
	atomic {
		isApplied = false; readRevision = 0;
		if
		/* An accepted change is still in the history, so nothing has overwritten it. */
		:: reportedAccepted[self] ->
			findChange(self, isApplied);
			assert(isApplied)
		:: else
		fi;
		isApplied = false; attempts = 0
	}
}

/* No change is applied twice, and no accepted change is lost. */
proctype Monitor() {
	byte i, occurrences, operator;
	timeout;
	for (operator : 1 .. OPERATORS) {
		occurrences = 0;
		for (i : 1 .. MAX_REVISION - 1) {
			if
			:: i <= revision && changedBy[i] == operator -> occurrences++
			:: else
			fi
		}
		assert(occurrences <= 1);
		assert(!reportedAccepted[operator] || occurrences == 1)
	}
	/* Every reader has reached the newest revision. */
	assert(applied[0] == revision && applied[1] == revision && applied[2] == revision)
}

/* A reader applies a revision from the store or another reader only if it is newer than its own, however late it arrives. */
#ifdef NO_newer
#define newer(r) (inTransit[r] != 0 && inTransit[r] != applied[r])
#else
#define newer(r) (inTransit[r] > applied[r])
#endif

proctype Reader(byte r) {
	byte previous;
	end: do
	:: atomic { newer(r) ->
		previous = applied[r];
		applied[r] = inTransit[r];
		/* The applied revision of a process only increases. */
		assert(applied[r] > previous);
		previous = 0; inTransit[r] = 0
	}
	/* A message whose revision is not newer is dropped. */
	:: atomic { inTransit[r] != 0 && !newer(r) -> inTransit[r] = 0 }
	/* Only reader 0 watches the store. The revision may take any time to arrive. */
	:: atomic { r == 0 && inTransit[r] == 0 && revision > applied[r] -> inTransit[r] = revision }
	/* Any other reader may send its revision, which may be outdated when it arrives. */
	:: atomic { inTransit[r] == 0 && applied[(r + 1) % READERS] != applied[r] -> inTransit[r] = applied[(r + 1) % READERS] }
	:: atomic { inTransit[r] == 0 && applied[(r + 2) % READERS] > applied[r] -> inTransit[r] = applied[(r + 2) % READERS] }
	od
}

init {
	atomic {
		run Operator(1); run Operator(2); run Operator(3);
		run Reader(0); run Reader(1); run Reader(2);
		run Monitor()
	}
}
