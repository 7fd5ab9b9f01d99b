/**
The registration of a target. `incarnation` distinguishes two starts under the same
id, because a restarted target has lost everything that it received before.
*/
export type TargetRecord = {
	readonly id: string;
	/** When the target started, in Unix milliseconds by the target's own clock. */
	readonly incarnation: number;
	/** The store revision of the latest registration; a greater revision is later. */
	readonly registeredAt: number;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly zone: string;
	/** The number of requests that the target serves at the same time. */
	readonly slots: number;
	/** A `leaving` target gets no new requests. */
	readonly state: 'serving' | 'leaving';
	/** The remaining time for which the target is slow after its start, in milliseconds. */
	readonly warmingMs: number;
};

/**
Whether two records, the older one first, are equal in everything that affects routing, so
that listeners need not be notified of the newer one. A target that becomes cold is a change,
but the steps in which the stated time runs down are none.
*/
export function isSameTarget(a: TargetRecord, b: TargetRecord): boolean {
	return a.id === b.id && a.incarnation === b.incarnation && a.service === b.service && a.host === b.host && a.port === b.port
		&& a.zone === b.zone && a.slots === b.slots && a.state === b.state && b.warmingMs <= a.warmingMs;
}

/**
Returns the registration that counts at each address: the latest one. A target that
crashed stays registered for a while, and another one may have started at its address.

@example
latestByAddress(records).get('10.0.0.4:8000')?.id;
*/
export function latestByAddress(records: Iterable<TargetRecord>): ReadonlyMap<string, TargetRecord> {
	const byAddress = new Map<string, TargetRecord>();
	for (const record of records) {
		const address = addressOf(record);
		const latest = byAddress.get(address);
		if (!latest || latest.registeredAt < record.registeredAt) {
			byAddress.set(address, record);
		}
	}

	return byAddress;
}

/** Formats the host and port of a target or another server as `IP:PORT`. */
export function addressOf({host, port}: {readonly host: string; readonly port: number}): string {
	return `${host}:${port}`;
}
