export {createFrameDelayEstimator} from './age.js';
export {
	createBacklogs, maxBacklogBytes, openConnection, openSocket, processBacklogs, serveFrames, type Backlogs, type Connection,
} from './connection.js';
export {
	encodeFrame, frameKinds, isGroupFrame, maxFrameBytes, protocolVersion, readFrames,
	type ConfigUpdate, type Frame, type FrameFault,
	type GroupFrame, type GroupLoad, type LoadReport, type RefusedRequest, type MapUpdate, type RequestPathFrame, type PeerCommand, type PeerRequest, type PeerPlacementRequest,
	type RankNotice, type StoreCopy, type StreamNotice,
} from './frame.js';
export {createStrangers, type Strangers} from './strangers.js';
export {createTicker, tickIntervalMs, type Ticker} from './ticker.js';
export {maintainHostLinks, type LinksOptions} from './links.js';
export {createRankNotices, type RankNotices} from './rank-notices.js';
export {
	maintainPeerLink, handleFrame, servePeer, type DownCause, type FrameHandlers, type Peer, type PeerEvents, type PeerOptions,
} from './peer.js';
