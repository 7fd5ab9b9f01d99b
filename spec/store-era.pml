/*
Model of a store that comes back from an older copy. An operator writes versions of a
configuration, and after each restoration writes those that were lost again, in order. A reader lists the
store, a follower takes copies from the reader; answers and copies may arrive at any later
time. Two coordinators acquire fencing tokens from the store by compare-and-swap.

Checked: no process goes back to a lower version; when nothing more happens, both
processes have the operator's last version; no token is acquired twice.

Compiling with -DNO_name removes the guard of that name; the check must then fail.
*/
#define MAX_VERSION 2
#define MAX_RESTORATIONS 2
#define MAX_HEARTBEATS 1
#define ACQUISITIONS 1
#define TOKENS_PER_ERA 6

byte operatorVersion = 1;
byte heartbeats;
byte restorations;

/* The store: its era and revision, the version of the configuration, the last token and the revision of its key. */
byte storeEra;
byte storeRevision = 1;
byte storeVersion = 1;
byte storeToken, storeTokenRevision;

bool hasCopy;
byte copyRevision, copyVersion, copyToken, copyTokenRevision;

/* What the reader (0) and the follower (1) know. */
byte knownEra[2], knownRevision[2], knownVersion[2];

bool isAcquired[TOKENS_PER_ERA * (MAX_RESTORATIONS + 1) + 1];

#define isLater(era1, revision1, era2, revision2) (era1 > era2 || (era1 == era2 && revision1 > revision2))

#ifdef NO_listEra
#define isNews(era, revision) (revision > knownRevision[0])
#else
#define isNews(era, revision) isLater(era, revision, knownEra[0], knownRevision[0])
#endif

#ifdef NO_copyEra
#define isCopyNews (knownRevision[0] > knownRevision[1])
#else
#define isCopyNews isLater(knownEra[0], knownRevision[0], knownEra[1], knownRevision[1])
#endif

inline adopt(self, era, revision, version) {
	if
#ifndef NO_versionOrder
	:: version < knownVersion[self] -> skip
#endif
	:: else ->
		assert(version >= knownVersion[self]);
		knownVersion[self] = version
	fi;
	knownEra[self] = era;
	knownRevision[self] = revision
}

active proctype Operator() {
	do
	:: atomic {
		storeVersion < operatorVersion ->
			storeRevision++;
			storeVersion++
		}
	:: atomic {
		storeVersion == operatorVersion && operatorVersion < MAX_VERSION ->
			operatorVersion++;
			storeRevision++;
			storeVersion = operatorVersion
		}
	:: atomic {
		heartbeats < MAX_HEARTBEATS ->
			heartbeats++;
			storeRevision++
		}
	od
}

active proctype Drill() {
	do
	:: atomic {
		!hasCopy && restorations < MAX_RESTORATIONS ->
			hasCopy = true;
			copyRevision = storeRevision;
			copyVersion = storeVersion;
			copyToken = storeToken;
			copyTokenRevision = storeTokenRevision
		}
	:: atomic {
		hasCopy ->
			hasCopy = false;
			restorations++;
			storeEra++;
			storeRevision = copyRevision;
			storeVersion = copyVersion;
			storeToken = copyToken;
			storeTokenRevision = copyTokenRevision
		}
	od
}

active proctype Reader() {
	bool isWaiting;
	byte era, revision, version;
	do
	:: atomic {
		!isWaiting && isNews(storeEra, storeRevision) ->
			isWaiting = true;
			era = storeEra;
			revision = storeRevision;
			version = storeVersion
		}
	:: atomic {
		isWaiting ->
			isWaiting = false;
			if
			:: isNews(era, revision) -> adopt(0, era, revision, version)
			:: else
			fi;
			era = 0; revision = 0; version = 0
		}
	od
}

active proctype Follower() {
	bool isWaiting;
	byte era, revision, version;
	do
	:: atomic {
		!isWaiting && isCopyNews ->
			isWaiting = true;
			era = knownEra[0];
			revision = knownRevision[0];
			version = knownVersion[0]
		}
	:: atomic {
		isWaiting ->
			isWaiting = false;
			adopt(1, era, revision, version);
			era = 0; revision = 0; version = 0
		}
	od
}

#define higher(a, b) (a > b -> a : b)

proctype Coordinator() {
	byte acquisitions, era, last, tokenRevision, token;
	do
	:: acquisitions < ACQUISITIONS ->
		atomic {
			era = storeEra;
			last = storeToken;
			tokenRevision = storeTokenRevision
		}
		atomic {
			acquisitions++;
#ifdef NO_tokenEra
			token = last + 1;
#else
			token = higher(last, era * TOKENS_PER_ERA) + 1;
#endif
			if
			/* The store compares revisions alone, and may have given this one to another write. */
			:: storeTokenRevision == tokenRevision ->
				storeRevision++;
				storeTokenRevision = storeRevision;
				storeToken = token;
				if
#ifndef NO_conditionEra
				:: storeEra != era -> skip
#endif
				:: else ->
					assert(!isAcquired[token]);
					isAcquired[token] = true
				fi
			:: else
			fi;
			era = 0; last = 0; tokenRevision = 0; token = 0
		}
	:: else -> break
	od
}

active proctype Monitor() {
	timeout -> assert(knownVersion[0] == operatorVersion && knownVersion[1] == operatorVersion)
}

init {
	atomic {
		run Coordinator();
		run Coordinator()
	}
}
