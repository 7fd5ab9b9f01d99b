export {
	ageOf, fromAged, isBlocked, isSameCrash, mergeSuspicions, trialFromMs, type AgedSuspicion, type Suspicion, type SuspectedCrash, type Trial,
} from './suspicion.js';
export {isRequestSubject, requestSubject, type RequestContent} from './subject.js';
export {createSuspicions, type SuspicionChange, type Suspicions} from './suspicions.js';
export {
	createQuarantine, suspicionChanges, type Admission, type Quarantine, type QuarantineOptions,
} from './quarantine.js';
export {createSuspicionRelay, type SuspicionRelay} from './relay.js';
