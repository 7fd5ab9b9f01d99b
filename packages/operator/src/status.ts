import {type Instance} from '@papayaflow/instances';
import {request} from 'undici';

const askTimeoutMs = 2000;
const parallelAsks = 32;

/** What one instance says of itself. */
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
Asks every listed instance for its status, a bounded number at a time. One that
does not answer is shown as not reachable, never left out.

@example
const statuses = await fetchStatuses(instances);
*/
export async function fetchStatuses(instances: readonly Instance[]): Promise<readonly InstanceStatus[]> {
	const statuses: InstanceStatus[] = [];
	for (let start = 0; start < instances.length; start += parallelAsks) {
		const batch = instances.slice(start, start + parallelAsks);
		statuses.push(...await Promise.all(batch.map(async instance => fetchStatus(instance))));
	}

	return statuses;
}

/** Tells an instance that its target is to leave; `false` when it could not be told. */
export async function drainInstance(instance: Instance): Promise<boolean> {
	try {
		const res = await request(`${adminUrl(instance)}/drain`, {method: 'POST', signal: AbortSignal.timeout(askTimeoutMs)});
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
		const res = await request(`${adminUrl(instance)}/status`, {signal: AbortSignal.timeout(askTimeoutMs)});
		const told = await res.body.json() as Partial<InstanceStatus>;
		return {
			...listed, reachable: true, revision: told.revision, inForce: told.inForce, leaving: told.leaving, confirmedAgoMs: told.confirmedAgoMs,
		};
	} catch {
		return {...listed, reachable: false};
	}
}

function adminUrl({address, adminPort}: Instance): string {
	return `http://${address.includes(':') ? `[${address}]` : address}:${adminPort}`;
}
