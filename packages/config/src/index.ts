export {
	readHead, savePreset, settleChange, usePreset, type ChangeAuthor, type ChangeRefusal, type ChangeResult, type PresetEdit, type HeadResult,
} from './change.js';
export {
	chunkPreset, requiredChunks, matchesHash, joinPreset, type ChunkedPreset,
} from './chunk.js';
export {
	onConfigMessage, revisionMessage, type Clock, type ConfigMessage,
} from './exchange.js';
export {
	createFollower, followStore, refreshFromStore, type AppliedConfig, type Follower, type ApplyResult, type ConfigUpdate,
} from './follower.js';
export {
	bodyInForce, chunkKey, decodeHead, emptyHead, encodeHead, headKey, type Change, type Head,
} from './head.js';
export {
	checkPreset, lowestPriority, findOrganisation, presetSchema, findRoute,
	type Organisation, type Preset, type PresetProblem, type PresetResult, type Route, type Service,
} from './preset.js';
