/**
Calls `run` with a signal that aborts when `signal` does, or after `limitMs`
milliseconds. Returns what `run` returns and removes its timer and listener when
`run` has ended.

`AbortSignal.any([signal, AbortSignal.timeout(limitMs)])` is not used: the combined
signal holds the timeout only weakly, and a garbage collection before the limit
removes it.

@example
const result = await withTimeLimit(signal, 500, async bounded => request(url, {signal: bounded}));
*/
export async function withTimeLimit<T>(signal: AbortSignal, limitMs: number, run: (bounded: AbortSignal) => Promise<T>): Promise<T> {
	const controller = new AbortController();
	const abort = (): void => {
		controller.abort(signal.reason);
	};

	const timer = setTimeout(() => {
		controller.abort(new DOMException(`the time limit of ${limitMs} ms has passed`, 'TimeoutError'));
	}, limitMs);
	timer.unref();
	signal.addEventListener('abort', abort, {once: true});
	if (signal.aborted) {
		abort();
	}

	try {
		return await run(controller.signal);
	} finally {
		clearTimeout(timer);
		signal.removeEventListener('abort', abort);
	}
}
