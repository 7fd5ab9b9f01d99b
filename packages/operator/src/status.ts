import {type Instance} from '@papayaflow/instances';
import {request} from 'undici';

const requestTimeoutMs = 2000;
const maxConcurrentRequests = 32;

/** The status of one instance: its entry in the list of instances and, if it is reachable, its own report. */
export type InstanceStatus = {
	readonly instance: string;
	readonly role: Instance['role'];
	readonly zone: string;
	readonly listed: Instance['state'];
	readonly reachable: boolean;
	readonly revision?: number;
	readonly inForce?: string;
	readonly leaving?: boolean;
	readonly confirmedAgoMs?: number | undefined;
};

/**
Fetches the status of every listed instance, a bounded number at a time. An
instance that does not answer is included as not reachable.

@example
const statuses = await fetchStatuses(instances);
*/
export async function fetchStatuses(instances: readonly Instance[]): Promise<readonly InstanceStatus[]> {
	const statuses: InstanceStatus[] = [];
	for (let start = 0; start < instances.length; start += maxConcurrentRequests) {
		const batch = instances.slice(start, start + maxConcurrentRequests);
		statuses.push(...await Promise.all(batch.map(async instance => fetchStatus(instance))));
	}

	return statuses;
}

/** Asks an instance to drain its target. Returns `false` when the instance did not confirm the request. */
export async function drainInstance(instance: Instance): Promise<boolean> {
	try {
		const res = await request(`${adminUrl(instance)}/drain`, {method: 'POST', signal: AbortSignal.timeout(requestTimeoutMs)});
		await res.body.dump();
		return res.statusCode === 200;
	} catch {
		return false;
	}
}

async function fetchStatus(instance: Instance): Promise<InstanceStatus> {
	const listed = {
		instance: instance.id, role: instance.role, zone: instance.zone, listed: instance.state,
	};
	try {
		const res = await request(`${adminUrl(instance)}/status`, {signal: AbortSignal.timeout(requestTimeoutMs)});
		const status = await res.body.json() as Partial<InstanceStatus>;
		return {
			...listed, reachable: true, revision: status.revision, inForce: status.inForce, leaving: status.leaving, confirmedAgoMs: status.confirmedAgoMs,
		};
	} catch {
		return {...listed, reachable: false};
	}
}

function adminUrl({address, adminPort}: Instance): string {
	return `http://${address.includes(':') ? `[${address}]` : address}:${adminPort}`;
}
