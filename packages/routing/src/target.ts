/**
What a target says of itself. `incarnation` tells two starts under one id apart:
a target that started again knows nothing of what it was told before.
*/
export type TargetRecord = {
	readonly id: string;
	/** When it started, in Unix milliseconds by its own clock. */
	readonly incarnation: number;
	/** The store's revision at which it registered last: greater is later. */
	readonly registeredAt: number;
	readonly service: string;
	readonly host: string;
	readonly port: number;
	readonly zone: string;
	/** Requests that it serves at once. */
	readonly slots: number;
	/** `leaving` targets get nothing new. */
	readonly state: 'serving' | 'leaving';
	/** How much longer it stays slow after its start, in milliseconds. */
	readonly warmingMs: number;
};

/** Whether two records say the same of where work may go, so that nothing has to be told on. */
export function isSameTarget(a: TargetRecord, b: TargetRecord): boolean {
	return a.id === b.id && a.incarnation === b.incarnation && a.service === b.service && a.host === b.host && a.port === b.port
		&& a.zone === b.zone && a.slots === b.slots && a.state === b.state;
}

/** The address of a target, or of what else is reached by host and port, as `IP:PORT`. */
export function addressOf({host, port}: {readonly host: string; readonly port: number}): string {
	return `${host}:${port}`;
}
