/*
Model of the agreement between an entry and the coordinator of a group on one request: the
coordinator counts it if and only if the entry runs it, once all messages have arrived.

The entry asks for a place, up to two times under the same id, and gives up at any time; it
then runs the request without a reply or not at all. Its connection may fall silent at any
time. What was sent on it is lost, or read at any later time; a new connection works.

The entry sends the list of its requests over each new connection. The coordinator also asks
for it while a request is not confirmed, which the agreement must not need; that is left out.

Compiling with -DNO_name removes the guard of that name; the check must then fail.
*/
#define MAX_ASKS 2

mtype = {place, placed, ended, running, list, askList};
mtype = {idle, asking, runs};

/* From the entry, with whether it runs the request and whether it has asked for it. */
chan up[2] = [6] of {mtype, bit, bit};
chan down[2] = [4] of {mtype};

/* The connection that the entry uses, and whether the first one has fallen silent. */
byte current;
bool isSilent;
mtype state = idle;
byte asks;
byte askedOn;
/* Whether the entry does nothing more by itself. */
bool isDone;
bool isCounted;

#define isLost(c) (c == 0 && isSilent)
#define areEmpty (len(up[0]) == 0 && len(up[1]) == 0 && len(down[0]) == 0 && len(down[1]) == 0)

inline tell(c, kind) {
	if
	:: isLost(c)
	:: !isLost(c) -> up[c]!kind(state == runs, state == asking)
	fi
}

inline giveUp() {
	state = idle;
	tell(askedOn, ended);
	if
	:: askedOn != current -> tell(current, ended)
	:: else
	fi
}

/* A reply that comes when nothing is asked for. */
inline answerLate(c) {
	if
	:: state == runs -> tell(c, running)
	:: else -> tell(c, ended)
	fi
}

active proctype Entry() {
	byte c;
	do
	:: atomic {state == idle && !isDone && asks < MAX_ASKS && nfull(up[current]) -> asks++; askedOn = current; tell(current, place); state = asking}
	:: atomic {state == asking && nfull(up[0]) && nfull(up[1]) -> giveUp()}
	/* Runs the request without a reply. */
	:: atomic {state == idle && !isDone && asks > 0 && nfull(up[current]) -> state = runs; tell(current, running)}
	:: atomic {state == runs && !isDone && nfull(up[current]) -> state = idle; tell(current, ended)}
	:: atomic {state != asking && !isDone -> isDone = true}
	:: atomic {
		nfull(up[0]) && down[0]?[placed] ->
			down[0]?placed;
			if
			:: state == asking -> state = runs
			:: else -> answerLate(0)
			fi
		}
	:: atomic {
		nfull(up[1]) && down[1]?[placed] ->
			down[1]?placed;
			if
			:: state == asking -> state = runs
			:: else -> answerLate(1)
			fi
		}
	:: atomic {nfull(up[0]) && down[0]?[askList] -> down[0]?askList; tell(0, list)}
	:: atomic {nfull(up[1]) && down[1]?[askList] -> down[1]?askList; tell(1, list)}
	od
}

/* The first connection falls silent; what it carries to the entry is lost. The notice of the coordinator on the new one asks for the list. */
active proctype Network() {
	atomic {
		isSilent = true;
		do
		:: down[0]?_
		:: empty(down[0]) -> break
		od;
		current = 1;
#ifndef NO_list
		down[1]!askList
#endif
	};
	/* What it carried to the coordinator is lost in part. */
	do
	:: atomic {up[0]?_, _, _}
	:: break
	od
}

inline onMessage(c) {
	if
#ifndef NO_latest
	/* Frames of a connection that has been replaced don't count. */
	:: c != current -> skip
	:: c == current ->
#else
	:: true ->
#endif
		if
		:: kind == place ->
			isCounted = true;
			if
			:: isLost(c)
			:: !isLost(c) -> down[c]!placed
			fi
		:: kind == ended -> isCounted = false
		:: kind == running -> isCounted = true
		:: kind == list ->
#ifdef NO_pending
			isCounted = isRunning
#else
			isCounted = isRunning || (isCounted && isAsked)
#endif
		fi
	fi;
	kind = 0;
	isRunning = 0;
	isAsked = 0
}

active proctype Coordinator() {
	mtype kind;
	bit isRunning, isAsked;
	do
	:: atomic {nfull(down[0]) && nempty(up[0]) -> up[0]?kind, isRunning, isAsked; onMessage(0)}
	:: atomic {nfull(down[1]) && nempty(up[1]) -> up[1]?kind, isRunning, isAsked; onMessage(1)}
	od
}

active proctype Check() {
	atomic {isDone && areEmpty -> assert(isCounted == (state == runs))}
}
