export {
	connectInstances, followInstances, type Instance, type InstanceClient, type InstancesResult,
} from './instances.js';
