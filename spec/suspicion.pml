/*
Model of the suspicion of one subject that crashes each target which begins to answer it:
its crashes, its trial, and the messages between two instances. A request with the subject
may come at any instance at any time. A message carries all that its sender knows and may be
delayed behind others, but not lost: what is lost with a connection is sent again when it is opened.

Each instance keeps the subject back after THRESHOLD crashes (2 for a request, 1 for a part),
until a pause has passed; then it sends one request as a trial, which it announces.
A crash of a trial keeps the subject back for good, as the next pause is longer than the search.
A message takes less time than a target takes to begin an answer and to crash, and much less than the pause.

The search asserts that
- the subject never runs more often than nobody can prevent: each instance may count its own crashes
  only, if those of the others are on their way, and trials may cross;
- no trial begins at an instance that has heard of another one which is under way;
- the instances agree once all messages are delivered.

Checked for THRESHOLD=1 and for THRESHOLD=2.

Compiling with -DNO_name removes the guard of that name; the check must then fail.
*/
#define INSTANCES 2
#ifndef THRESHOLD
#define THRESHOLD 2
#endif
#define MAX_RUNS (INSTANCES * (THRESHOLD + 1))
/* Allows one crash more than the search may reach, so that a violation is seen. */
#define MAX_CRASHES (MAX_RUNS + 1)

typedef Belief {
	/* A bit for each crash. */
	byte crashes;
	/* The crashes that were trials. */
	byte trialCrashes;
	/* Whether a trial has been announced. */
	bool isTried
}

Belief known[INSTANCES];
/* What each instance has sent and the other has not received. */
Belief sent[INSTANCES];
bool isInFlight[INSTANCES];
/* Whether each instance has a request with the subject under way, and whether that is a trial. */
bool isRunning[INSTANCES];
bool isTrial[INSTANCES];
/* Whether each instance had a request under way when the message to it was sent. Only then may that crash its target before the message arrives. */
bool wasRunning[INSTANCES];
bool hasPaused;
byte runs;

inline count(mask, result) {
	result = (mask & 1) + ((mask >> 1) & 1) + ((mask >> 2) & 1) + ((mask >> 3) & 1) + ((mask >> 4) & 1) + ((mask >> 5) & 1) + ((mask >> 6) & 1)
}

/* A later message includes what earlier ones carried. */
inline announce(me) {
	sent[me].crashes = known[me].crashes;
	sent[me].trialCrashes = known[me].trialCrashes;
	sent[me].isTried = known[me].isTried;
	isInFlight[me] = true;
	wasRunning[1 - me] = isRunning[1 - me]
}

inline receive(me, from) {
#ifdef NO_union
	known[me].crashes = sent[from].crashes;
#else
	known[me].crashes = known[me].crashes | sent[from].crashes;
#endif
	known[me].trialCrashes = known[me].trialCrashes | sent[from].trialCrashes;
#ifdef NO_trialBlocks
	known[me].isTried = sent[from].isTried;
#else
	known[me].isTried = known[me].isTried || sent[from].isTried;
#endif
	isInFlight[from] = false
}

#define isQuiet (!isInFlight[0] && !isInFlight[1] && !isRunning[0] && !isRunning[1])

proctype Instance(byte me) {
	byte crashCount;
	do
	:: atomic {
		!isRunning[me] && runs < MAX_CRASHES ->
		count(known[me].crashes, crashCount);
		if
#ifdef NO_keepBack
		:: true -> isRunning[me] = true; isTrial[me] = false
#else
		:: crashCount < THRESHOLD -> isRunning[me] = true; isTrial[me] = false
#endif
#ifdef NO_oneTrial
		:: crashCount >= THRESHOLD && hasPaused && known[me].trialCrashes == 0 ->
#else
		:: crashCount >= THRESHOLD && hasPaused && known[me].trialCrashes == 0 && !known[me].isTried ->
#endif
			assert(!isTrial[1 - me] || isInFlight[1 - me]);
			isRunning[me] = true; isTrial[me] = true; known[me].isTried = true; announce(me)
		:: else
		fi
	}
	:: atomic {
		isRunning[me] && !isInFlight[me] && (!isInFlight[1 - me] || wasRunning[me]) ->
		known[me].crashes = known[me].crashes | (1 << runs);
		if
#ifdef NO_trialBlocks
		:: isTrial[me] -> known[me].isTried = false
#else
		:: isTrial[me] -> known[me].trialCrashes = known[me].trialCrashes | (1 << runs)
#endif
		:: else
		fi;
		runs++;
		isRunning[me] = false;
		isTrial[me] = false;
		hasPaused = false;
		announce(me);
		assert(runs <= MAX_RUNS)
	}
	:: atomic { isInFlight[1 - me] -> receive(me, 1 - me) }
	:: atomic {
		isQuiet && runs > 0 ->
		assert(known[0].crashes == known[1].crashes);
		hasPaused = true
	}
	od
}

init {
	atomic {
		run Instance(0);
		run Instance(1)
	}
}
