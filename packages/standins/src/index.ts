export {
	answerText, serveEngine, tokenText, type EngineOptions,
} from './engine.js';
export {collectGarbageDuring} from './garbage.js';
export {serveInstanceList} from './instance-list.js';
export {createKv, type Kv, type KvFaults} from './kv.js';
export {serveKv} from './kv-server.js';
export {memoryStore, type StoreFaults} from './memory-store.js';
export {servePlainService, type PlainFaults} from './plain-service.js';
export {createRankGroup, type RankGroup, type RankGroupOptions} from './ranks.js';
export {
	exponential, normal, quantile, seededRandom,
} from './random.js';
export {createPassGroup, type PassGroup, type PassOrder} from './pass-group.js';
export {
	startPassServers, type OrderDelivery, type PassServerOptions, type PassServers,
} from './pass-server.js';
export {
	createPlatformStore, type PlatformStore, type PlatformStoreCopy, type PlatformStoreFaults,
} from './platform-store.js';
export {
	chunk, lastChunk, notExecutedResponse, sealedResponse, startReplica, streamEvent, eventStreamHead, type Replica, type ReplicaRequest,
} from './replica.js';
export {createSubjectDemand, type SubjectDemand} from './subject-demand.js';
export {createLimitedTarget, mostArrivals, type LimitedTarget} from './limited-target.js';
export {createSilencingProxy, type SilencingProxy} from './silencing-proxy.js';
export {listenOn} from './listen.js';
