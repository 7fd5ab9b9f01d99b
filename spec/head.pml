/*
The head of the configuration: three operators who change it by compare-and-swap
and may lose the answer, and three readers who learn it from the store or from
each other.

Each guard can be taken out with -DNO_name; the check must then fail.
*/
#define OPERATORS 3
#define READERS 3
#define TRIES 2
#define MAX_REVISION 7

byte revision;                    /* The revision of the head in the key-value service. */
byte change[MAX_REVISION];        /* Which operator's change made each revision. */
byte applied[READERS];            /* The revision in force on each reader. */
byte offered[READERS];            /* A revision on its way to each reader. */
byte accepted;                    /* Operators who were told "accepted". */
bool told[OPERATORS + 1];

inline wasMade(me, answer) {
	answer = false;
	for (i : 1 .. MAX_REVISION - 1) {
		if
		:: i <= revision && change[i] == me -> answer = true
		:: else
		fi
	}
	i = 0
}

proctype Operator(byte me) {
	byte seen, tries, i;
	bool made;

	do
	:: tries < TRIES ->
		tries++;
		atomic {
			seen = revision;
			wasMade(me, made)
		}
#ifndef NO_settled
		/* Its own change stands: the answer of an earlier try was lost. */
		if
		:: made -> told[me] = true; break
		:: else
		fi;
#endif
		atomic {
			if
#ifdef NO_swap
			:: true ->
#else
			:: revision == seen ->
#endif
				revision = seen + 1;
				change[revision] = me;
				made = true
			:: else -> made = false
			fi
		}
		if
		:: made -> told[me] = true; break
		/* The answer is lost. */
		:: made = false
		:: !made
		fi
	:: else -> break
	od;
	atomic {
		made = false; seen = 0;
		if
		/* Accepted means that the change stands, once, and is never overwritten. */
		:: told[me] ->
			wasMade(me, made);
			assert(made)
		:: else
		fi;
		made = false; tries = 0
	}
}

/* No change is made twice, and none that was accepted is lost later. */
proctype Monitor() {
	byte i, times, o;
	timeout;
	for (o : 1 .. OPERATORS) {
		times = 0;
		for (i : 1 .. MAX_REVISION - 1) {
			if
			:: i <= revision && change[i] == o -> times++
			:: else
			fi
		}
		assert(times <= 1);
		assert(!told[o] || times == 1)
	}
	/* Every reader has come to the newest revision. */
	assert(applied[0] == revision && applied[1] == revision && applied[2] == revision)
}

/* A reader takes what the store or another reader says, however late it comes, and never goes back. */
#ifdef NO_newer
#define newer(r) (offered[r] != 0 && offered[r] != applied[r])
#else
#define newer(r) (offered[r] > applied[r])
#endif

proctype Reader(byte r) {
	byte before;
	end: do
	:: atomic { newer(r) ->
		before = applied[r];
		applied[r] = offered[r];
		/* A process never applies a revision lower than one it has applied. */
		assert(applied[r] > before);
		before = 0; offered[r] = 0
	}
	/* A late message that is not newer is dropped. */
	:: atomic { offered[r] != 0 && !newer(r) -> offered[r] = 0 }
	/* Only reader 0 watches the store; what it reads may be long on its way. */
	:: atomic { r == 0 && offered[r] == 0 && revision > applied[r] -> offered[r] = revision }
	/* Any other reader may tell what it has, also where that is old by the time it arrives. */
	:: atomic { offered[r] == 0 && applied[(r + 1) % READERS] != applied[r] -> offered[r] = applied[(r + 1) % READERS] }
	:: atomic { offered[r] == 0 && applied[(r + 2) % READERS] > applied[r] -> offered[r] = applied[(r + 2) % READERS] }
	od
}

init {
	atomic {
		run Operator(1); run Operator(2); run Operator(3);
		run Reader(0); run Reader(1); run Reader(2);
		run Monitor()
	}
}
