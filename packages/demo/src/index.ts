export {
	ask, startFleet, waitUntil, type Fleet, type FleetOptions, type FleetProcess,
} from './fleet.js';
export {requestCompletion, sendOrder, type RequestResult} from './load.js';
export {ordinaryPreset, peakPreset} from './presets.js';
