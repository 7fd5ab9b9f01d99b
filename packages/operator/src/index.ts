export {fetchExplanation, type ExplanationResult} from './explain.js';
export {
	diffPresets, fetchBody, fetchPreset, type Difference, type FetchResult,
} from './presets.js';
export {drainInstance, fetchStatuses, type InstanceStatus} from './status.js';
