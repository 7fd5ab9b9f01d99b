export {createFrameAge} from './age.js';
export {
	maxBacklogBytes, openConnection, openSocket, serveFrames, type Connection,
} from './connection.js';
export {
	encodeFrame, maxFrameBytes, protocolVersion, readFrames,
	type ConfigUpdate, type Frame, type FrameFault, type GroupLoad, type LoadReport, type PeerRequest, type PlaceAsk, type RankNotice, type StoreCopy, type StreamNotice,
} from './frame.js';
export {
	followPeer, servePeer, type Peer, type PeerEvents, type PeerOptions,
} from './peer.js';
