export {openAnswer, type Answer} from './answer.js';
export {readBody, type Body} from './body.js';
export {
	headerNames, readCall, type Call, type CallResult,
} from './call.js';
export {problemOf, retryAfterSeconds, type Problem} from './problem.js';
