import {type Route} from '@papayaflow/routing';
import {type Generation} from './dialect.js';

/** A validated request of a caller, with the values that decide how it is forwarded. */
export type Call = {
	readonly requestId: string;
	readonly route: Route;
	/** The service chosen by weight among those of the route. */
	readonly service: string;
	readonly organisation: string | undefined;
	/** The priority of the organisation, or of the route if the organisation has none; 0 is served first. */
	readonly priority: number;
	/** The version of the configuration that the route and the organisation come from. */
	readonly version: number;
	readonly method: string;
	readonly path: string;
	/** A flat list of names and values, as the caller sent them. */
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array;
	readonly generation: Generation | undefined;
	/** The ids of the parts of the prompt that other requests may have too, each once. */
	readonly sharedParts: readonly string[];
	/** The availability zones whose targets the request may reach; absent if it may reach all. */
	readonly allowedZones?: ReadonlySet<string>;
	/** Returns the id under which the request is suspected if it crashes targets. */
	readonly subject: () => string;
	/** The caller's deadline or the timeout of the route, whichever is shorter, in milliseconds from the arrival. */
	readonly deadlineMs: number;
	/** When the request arrived, in milliseconds of the monotonic clock. */
	readonly arrivedMs: number;
};

/** Whether a call may reach the targets of an availability zone. */
export function mayReach({allowedZones}: Pick<Call, 'allowedZones'>, zone: string): boolean {
	return allowedZones?.has(zone) ?? true;
}

/** The most parts of a prompt in a log line. */
export const maxLoggedParts = 8;

/** Whether a call may be sent again after a target may have run it. */
export function isRetryable({route}: Call): boolean {
	return route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable);
}
