export {followStore, type FollowOptions} from './follow.js';
export {
	createMirror, type Mirror, type MirrorChange, type MirrorOptions, type Snapshot,
} from './mirror.js';
export {copySince, applyCopy, type MirrorCopy} from './copy.js';
export {compressEntry, expandEntry, type CopiedEntry} from './compress.js';
