import {type Route} from '@papayaflow/routing';
import {type Generation} from './dialect.js';

/** A caller's request, checked, with all that decides its way. */
export type Call = {
	readonly requestId: string;
	readonly route: Route;
	/** The service that was drawn among those of the route. */
	readonly service: string;
	readonly organisation: string | undefined;
	/** Its organisation's, else its route's; 0 is served first. */
	readonly priority: number;
	/** The version of the configuration by which route and organisation were found. */
	readonly version: number;
	readonly method: string;
	readonly path: string;
	/** Flat, as the caller sent them. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
	readonly generation: Generation | undefined;
	/** How long the caller, or the operators for it, want it kept waiting, in milliseconds from its arrival. */
	readonly deadlineMs: number;
	/** Its arrival, in monotonic milliseconds. */
	readonly arrivedMs: number;
};

/** Whether a call may be run again after it may have run. */
export function isRepeatable({route}: Call): boolean {
	return route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable);
}
