/**
Creates an estimator of the transit time of frames from one sender, in milliseconds.
The clocks of the two processes need not agree: each frame carries the time at which
it was sent on the sender's monotonic clock, and the frame with the smallest clock
difference so far counts as having taken no time.

@example
const delayOf = createFrameDelayEstimator();
const delayMs = delayOf(frame.sentMs, performance.now());
*/
export function createFrameDelayEstimator(): (sentMs: number, nowMs: number) => number {
	let minClockDifferenceMs = Number.POSITIVE_INFINITY;
	return (sentMs, nowMs) => {
		minClockDifferenceMs = Math.min(minClockDifferenceMs, nowMs - sentMs);
		return nowMs - sentMs - minClockDifferenceMs;
	};
}
