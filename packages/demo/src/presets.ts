/** The services of the demo: two models, and a plain service whose POST requests are not idempotent. */
const services = {
	'notice-drafting': {
		kind: 'model', fencing: 'checked', concurrency: 64, queueLimit: 512,
	},
	'pack-drafting': {
		kind: 'model', fencing: 'ignored', concurrency: 64, queueLimit: 512,
	},
	ledger: {kind: 'plain', concurrency: 32, queueLimit: 256},
};

const routes = [
	{
		methods: ['POST'], pathPrefix: '/ledger/', service: 'ledger', idempotent: false,
	},
	{
		methods: ['GET'], pathPrefix: '/ledger/', service: 'ledger', idempotent: true,
	},
];

/** The preset the demo starts with. */
export const ordinaryPreset = {
	description: 'an ordinary day', services, routes,
	organisations: {default: {requestsPerSecond: 2000, burst: 2000}, named: {ayamoni: {weight: 2, requestsPerSecond: 2000, burst: 2000}}},
	rebalancing: {intervalMs: 400, moveMs: 0.1},
	drain: {graceMs: 5000, lingerMs: 200},
};

/** The preset the demo switches to while requests run. */
export const peakPreset = {
	...ordinaryPreset, description: 'a peak', retries: {maxAttempts: 2}, routing: {affinityLoadFactor: 1.1},
};
