export {
	createInstanceClient, pollInstances, type Instance, type InstanceClient, type InstancesResult,
} from './instances.js';
