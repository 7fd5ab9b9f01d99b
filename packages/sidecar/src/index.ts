export {
	createAdmission, type Admission, type AdmissionOptions, type AdmissionState, type AdmissionResult, type AdmissionRequest,
} from './admission.js';
export {type ServeDeps} from './dispatch.js';
export {type ReceivedAttempt} from './reply.js';
export {serveAttempt} from './serve.js';
export {createPeerServer, type PeerServer, type ServerDeps} from './server.js';
export {
	createGroupRanks, type GroupRanks, type GroupDeps, type RankRange,
} from './group.js';
export {runRebalancer, type RebalancerDeps} from './rebalancer.js';
