export {createFrameAge} from './age.js';
export {
	maxBacklogBytes, openConnection, openSocket, serveFrames, type Connection,
} from './connection.js';
export {
	encodeFrame, maxFrameBytes, protocolVersion, readFrames,
	type ConfigUpdate, type Frame, type FrameFault, type LoadReport, type PeerRequest,
} from './frame.js';
