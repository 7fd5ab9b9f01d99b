export {createOwnerCache, type OwnerCache} from './choose.js';
export {
	forward, isKeyed, type ForwardRequest, type ForwardResult, type ForwardDeps,
} from './forward.js';
export {createFront, type Front, type FrontDeps} from './front.js';
export {
	openLink, type AttemptResult, type Link, type LinkDeps, type SidecarAddress,
} from './link.js';
export {createLinks, type Links} from './links.js';
