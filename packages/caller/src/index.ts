export {openAnswer, type Answer} from './answer.js';
export {createBodyBuffers, type BodyBuffers, type BodyBytes} from './body-buffers.js';
export {
	readBody, type Body, type BodyReading,
} from './body.js';
export {
	headerNames, readCall, type Call, type CallResult,
} from './call.js';
export {trackConnections, type CallerConnections} from './connections.js';
export {problemOf, retryAfterSeconds, type Problem} from './problem.js';
