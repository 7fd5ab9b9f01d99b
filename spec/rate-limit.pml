/*
Model of the permissions to send requests to a target that has named a limit. Dispenser 0
grants them until the list of targets changes; from then on it is dispenser 1. Two
entries ask the dispenser that they believe in, may be paused at any time, and send with
the permission that they get.

Each process learns of the change by itself, within MAX_LAG ticks; except that the entries
(LATE_ENTRY, the default) or dispenser 0 (LATE_DISPENSER), cut off or frozen, may learn of
it at any later time. A dispenser's bucket holds one token and gains one every PERIOD ticks.
All times are relative and saturate, so the search covers runs of any length.

Checked for LATE_ENTRY and for LATE_DISPENSER.

Compiling with -DNO_name removes the guard of that name; the check must then fail.
*/
#define ENTRIES 2
#define PERIOD 2
#define MAX_LAG 3
/* The ticks for which a permission is valid, counted from when it was asked for. */
#define VALIDITY 1
/* The least time in which three requests may be sent. */
#define LEAST_SPAN (2 * PERIOD - VALIDITY)

mtype = {idle, asking, granted};

bool isChanged;
/* The ticks since the change, at most MAX_LAG. */
byte changeAge;
bool knowsDispenser[2];
bool knowsEntry[ENTRIES];
/* The ticks until each dispenser may grant the next permission. */
byte readyIn[2];
mtype state[ENTRIES] = idle;
byte askedOf[ENTRIES];
/* The ticks since each entry asked, at most VALIDITY + 1. */
byte askAge[ENTRIES];
/* The ticks since the last two requests were sent, at most LEAST_SPAN. */
byte lastAge = LEAST_SPAN, beforeLastAge = LEAST_SPAN;

#ifdef LATE_DISPENSER
#define isBehind (!knowsDispenser[1] || !knowsEntry[0] || !knowsEntry[1])
#else
#define isBehind (!knowsDispenser[0] || !knowsDispenser[1])
#endif

#ifdef NO_ownerCheck
#define grants(d) (d == 0 || knowsDispenser[1])
#else
#define grants(d) ((d == 0 && !knowsDispenser[0]) || (d == 1 && knowsDispenser[1]))
#endif

#define mayGrant(d, e) (state[e] == asking && askedOf[e] == d && grants(d) && readyIn[d] == 0)
#define less(x) (x > 0 -> x - 1 : 0)
#define more(x, most) (x < most -> x + 1 : most)

inline grant(d, e) {
	readyIn[d] = PERIOD;
	state[e] = granted
}

active proctype Clock() {
	do
	:: atomic {
		!(isChanged && changeAge == MAX_LAG && isBehind) ->
			changeAge = (isChanged -> more(changeAge, MAX_LAG) : 0);
			readyIn[0] = less(readyIn[0]);
			readyIn[1] = less(readyIn[1]);
			askAge[0] = more(askAge[0], VALIDITY + 1);
			askAge[1] = more(askAge[1], VALIDITY + 1);
			lastAge = more(lastAge, LEAST_SPAN);
			beforeLastAge = more(beforeLastAge, LEAST_SPAN)
		}
	:: atomic {!isChanged -> isChanged = true}
	od
}

proctype Dispenser(byte self) {
	do
	:: atomic {
		isChanged && !knowsDispenser[self] ->
			knowsDispenser[self] = true;
			if
			:: self == 1 ->
#ifndef NO_handOver
				readyIn[1] = readyIn[1] + MAX_LAG + VALIDITY;
#endif
#ifndef NO_emptyStart
				/* The bucket starts empty, because what the predecessor granted is not known. */
				readyIn[1] = readyIn[1] + PERIOD
#endif
			:: else
			fi
		}
	:: atomic {mayGrant(self, 0) -> grant(self, 0)}
	:: atomic {mayGrant(self, 1) -> grant(self, 1)}
	od
}

proctype Entry(byte self) {
	do
	:: atomic {isChanged && !knowsEntry[self] -> knowsEntry[self] = true}
	:: atomic {
		state[self] == idle ->
			askedOf[self] = (knowsEntry[self] -> 1 : 0);
			askAge[self] = 0;
			state[self] = asking
		}
	/* The reply takes too long. */
	:: atomic {state[self] == asking && askAge[self] > 0 -> state[self] = idle}
	:: atomic {
		state[self] == granted ->
			state[self] = idle;
			if
#ifdef NO_expiry
			:: true ->
#else
			:: askAge[self] <= VALIDITY ->
#endif
				assert(beforeLastAge >= LEAST_SPAN);
				beforeLastAge = lastAge;
				lastAge = 0
#ifndef NO_expiry
			:: else
#endif
			fi
		}
	od
}

init {
	atomic {
		run Dispenser(0);
		run Dispenser(1);
		run Entry(0);
		run Entry(1)
	}
}
