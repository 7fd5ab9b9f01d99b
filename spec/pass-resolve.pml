/*
Model of resolving the switches that earlier coordinators of a group left unfinished, from
any mix of states of the ranks rather than only from those that pass-switch.pml reaches:
ranks armed for different versions or passes, holds at several ranks, a hold without an
armed rank and the reverse. Earlier aborts may have reached some of the ranks only.

All ranks can be reached and have accepted the coordinator's token, and all use the same
map. Some ranks may not check tokens: if the group is held, an arm order of an earlier
coordinator may still arrive once at each rank. The coordinator's hold is assumed to arrive
before the pass begins, since no other order could prevent it.

The ranks must come to the state in which the group is not held and no rank is armed, and
no pass may begin with two maps.

Checked for N=2 and for N=3.
Compiling with -DNO_name removes the guard of that name; the check must then fail.
*/
#ifndef N
#define N 2
#endif
#define MAX_PASS 3
/* The commands that the coordinator sends to a rank before it gives up and starts over. */
#define MAX_COMMANDS 6
#define MAX_ROUNDS 8

/* State of each rank. */
byte mapVersion[N];
byte prepared[N];
byte highest[N];
byte armedVersion[N];
byte armedPass[N];
byte held[N];
byte pass;

/* The arm order of an earlier coordinator that has not arrived yet; version 0 if there is none. */
byte lateVersion[N];
byte latePass[N];

bool isStarted;
bool mayBegin;
bool isClear;

#define isArmed(r) (armedVersion[r] != 0)
#define noneArmed (!isArmed(0) && !isArmed(1) && !isArmed(N - 1))
#define noneHeld (held[0] == 0 && held[1] == 0 && held[N - 1] == 0)
#define sameArms(r) (armedVersion[r] == armedVersion[0] && armedPass[r] == armedPass[0])
#define isUnanimous (isArmed(0) && sameArms(1) && sameArms(N - 1))

/* Guards the pass p if the hold is not later. */
#define guards(r, p) (held[r] != 0 && held[r] <= (p))
#define isHeldBy(p) (guards(0, p) || guards(1, p) || guards(N - 1, p))

/* A late order can't arm a rank any more that has prepared a version above all others. */
#ifdef NO_sealed
#define isSealed(r) (!isArmed(r))
#else
#define isSealed(r) (!isArmed(r) && (prepared[r] > newest || mapVersion[r] >= newest))
#endif

#define BEGIN_PASS(r) \
	if \
	:: isArmed(r) && armedPass[r] <= pass -> mapVersion[r] = armedVersion[r]; prepared[r] = 0; armedVersion[r] = 0; armedPass[r] = 0 \
	:: else \
	fi;

/* The group may stay idle for any time, so a pass may begin at any time or never. */
proctype Group() {
end:
	do
	:: atomic { mayBegin && pass < MAX_PASS && !isHeldBy(pass + 1) ->
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

/* Delivers the arm orders of an earlier coordinator that are still on their way. */
proctype Network() {
	byte r;
end:
	do
	:: atomic { isStarted && lateVersion[0] != 0 -> r = 0; goto deliver }
	:: atomic { isStarted && lateVersion[1] != 0 -> r = 1; goto deliver }
	:: atomic { isStarted && lateVersion[N - 1] != 0 -> r = N - 1; goto deliver }
	od;
deliver:
	atomic {
		if
		:: !isArmed(r) && prepared[r] == lateVersion[r] && pass < latePass[r] -> armedVersion[r] = lateVersion[r]; armedPass[r] = latePass[r]
		:: else
		fi;
		lateVersion[r] = 0; latePass[r] = 0; r = 0
	}
	goto end
}

proctype Coordinator() {
	byte r, newest, earliest, distance, commands, rounds;
	bool isAborting;

	isStarted;
resolve:
	atomic {
		rounds++;
		/* The ranks can all be reached, so they come to the wanted state in a few rounds. */
		assert(rounds <= MAX_ROUNDS);
		newest = 0; earliest = 255; r = 0;
		do
		:: r < N ->
			newest = (mapVersion[r] > newest -> mapVersion[r] : newest);
			newest = (prepared[r] > newest -> prepared[r] : newest);
			newest = (armedVersion[r] > newest -> armedVersion[r] : newest);
			earliest = (isArmed(r) && armedPass[r] < earliest -> armedPass[r] : earliest);
			r++
		:: else -> break
		od;
		r = 0;
		if
		:: noneHeld && noneArmed -> isClear = true; mayBegin = true; goto done
		:: else
		fi;
		isAborting = isAborting || !isUnanimous
	}
	if
	:: !isAborting && noneHeld ->
		mayBegin = true;
		/* The ranks switch when work starts the pass, which may never come. */
		if
		:: noneArmed -> goto resolve
#ifndef NO_idleEnd
		:: isAborting = true
#else
		:: assert(!noneArmed); goto done
#endif
		fi
	:: else
	fi;
#ifndef NO_heldFirst
	if
	:: atomic { isAborting && !isHeldBy(earliest) ->
		held[0] = 0;
		if
		:: pass < earliest -> held[0] = earliest
		:: else
		fi }
		goto resolve
	:: else
	fi;
#endif
	mayBegin = true;
	if
	:: isAborting ->
		do
		:: r < N ->
			distance = 1; commands = 0;
			do
			:: isSealed(r) || commands == MAX_COMMANDS -> break
			:: atomic { !isSealed(r) && commands < MAX_COMMANDS && isArmed(r) ->
				commands++;
#ifdef NO_ownVersion
				if
				:: armedVersion[r] == newest -> armedVersion[r] = 0; armedPass[r] = 0
				:: else
				fi
#else
				armedVersion[r] = 0; armedPass[r] = 0
#endif
			}
			:: atomic { !isSealed(r) && commands < MAX_COMMANDS && !isArmed(r) ->
				commands++;
				if
				:: newest + distance > highest[r] -> prepared[r] = newest + distance; highest[r] = newest + distance
				:: else -> distance = 2 * distance
				fi }
			od;
			if
			:: !isSealed(r) -> r = 0; goto resolve
			:: else -> r++
			fi
		:: else -> break
		od;
		r = 0
	:: else
	fi;
	held[0] = 0; held[1] = 0; held[N - 1] = 0;
	goto resolve;
done:
	skip
}

inline chooseState(r) {
	if
	:: prepared[r] = 1
	:: prepared[r] = 2
	fi;
	highest[r] = prepared[r];
	if
	:: skip
	:: armedVersion[r] = prepared[r]; armedPass[r] = 1
	:: armedVersion[r] = prepared[r]; armedPass[r] = 2
	fi
}

inline chooseHold(r) {
	if
	:: skip
	:: held[r] = 1
	:: held[r] = 2
	fi
}

#define mayArmAt(r, v, p) (armedVersion[r] != (v) || armedPass[r] == (p))

/* An arm order is sent only while the group is held, and for the held pass. All arm orders for a version are for one pass. */
inline chooseLateArm(r, holder) {
	if
	:: skip
	:: held[holder] != 0 && mayArmAt(0, prepared[r], held[holder]) && mayArmAt(1, prepared[r], held[holder]) && mayArmAt(N - 1, prepared[r], held[holder]) ->
		lateVersion[r] = prepared[r]; latePass[r] = held[holder]
	fi
}

init {
	atomic {
		chooseState(0); chooseState(1);
#if N > 2
		chooseState(2);
#endif
		/* A rank may be copying the map of a later version, which it does not report. */
		if
		:: skip
		:: armedVersion[N - 1] == 0 -> highest[N - 1] = 3; prepared[N - 1] = 0
		fi;
		chooseHold(0); chooseHold(1);
		chooseLateArm(0, 0); chooseLateArm(1, 0);
#if N > 2
		chooseLateArm(2, 1);
#endif
		isStarted = true;
		run Group(); run Network(); run Coordinator()
	}
	/* At the end nothing more can happen, so the coordinator must have come to a clear state. */
	timeout -> assert(isClear && noneHeld && noneArmed)
}
