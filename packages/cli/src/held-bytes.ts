import {type Metrics} from '@papayaflow/telemetry';

/** What a process may hold for a peer that is slow to send or to read. */
export type HeldUse = 'ahead' | 'heads' | 'bodies' | 'answers' | 'unread' | 'unsent' | 'frames';

/** How many ticks pass between two reports. Counting the bytes of some hundred connections at each tick is not worth its time. */
const ticksPerReport = 4;

/**
Creates the function that sets the gauges `held_bytes{what}`, to be called at each tick. The first call reports at once.

@example
ticker.add(reportHeldBytes(metrics, {frames: processBacklogs.bytes}));
*/
export function reportHeldBytes(metrics: Pick<Metrics, 'gauge'>, sources: Readonly<Partial<Record<HeldUse, () => number>>>): () => void {
	let ticks = 0;
	return () => {
		if (ticks++ % ticksPerReport !== 0) {
			return;
		}

		for (const [what, bytes] of Object.entries(sources)) {
			metrics.gauge('held_bytes', bytes(), {what});
		}
	};
}
