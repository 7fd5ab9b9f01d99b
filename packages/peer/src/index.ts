export {createFrameAge} from './age.js';
export {
	maxBacklogBytes, openConnection, openSocket, serveFrames, type Connection,
} from './connection.js';
export {
	encodeFrame, isGroupFrame, maxFrameBytes, protocolVersion, readFrames,
	type ConfigUpdate, type Frame, type FrameFault,
	type GroupFrame, type GroupLoad, type LoadReport, type PathFrame, type PeerRequest, type PlaceAsk, type RankNotice, type StoreCopy, type StreamNotice,
} from './frame.js';
export {followHosts, type LinksOptions} from './links.js';
export {
	maintainPeerLink, handleFrame, servePeer, type FrameHandlers, type Peer, type PeerEvents, type PeerOptions,
} from './peer.js';
