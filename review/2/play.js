#!/usr/bin/env node
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.js';
import {openConsumer} from '../lib/consumer.js';
import {bounds, key, startSite} from '../lib/site.js';

/** The events of each stream, one each 100 ms. The streams differ so that the entry is never without one. */
const events = {
	'a-first': 40, 'b-first': 43, 'c-first': 46, 'a-second': 45, 'b-second': 45, 'c-second': 45,
};
const beforeStopMs = 500;
const promptParts = '5c1e07a2:40,e4402b7d:634';

process.exit(await runCase(import.meta.dirname, async ({hasTrouble, record, onStop}) => {
	const arrivals = [];
	const site = await startSite({
		onStop,
		entries: 2, ranks: 3, plains: 3, eventsOf: requestId => events[requestId], record,
		onArrival(id, requestId) {
			arrivals.push(requestId);
			record(`${id} receives ${requestId}`);
		},
		onCut(id, requestId, sent) {
			record(`${id}: connection of ${requestId} closed after event ${sent} of ${events[requestId]}`);
		},
	});
	const [entry] = site.entries;
	let stopMs = Number.POSITIVE_INFINITY;
	const results = [];
	const consume = async name => {
		const consumer = openConsumer(site.frontOf(entry));
		for (const round of ['first', 'second']) {
			if (consumer.isClosed) {
				record(`${name}: connection closed by the entry before the ${round} request`);
				break;
			}

			const id = `${name}-${round}`;
			record(`${id} sent on ${round === 'first' ? 'a new connection' : `the same connection, ${Math.round(performance.now() - stopMs)} ms after SIGTERM`}`);
			const answer = await consumer.ask({
				id, method: 'POST', path: '/lohu930/2f', key, deadlineMs: 8017, headers: {'x-model': 'm', 'x-token-counts': '674,180', 'x-prompt-prefix': promptParts}, body: 'x'.repeat(700),
			});
			record(`${id}: status ${answer.status}, ${answer.isComplete ? 'complete' : `not complete: ${answer.why}`}, after ${Math.round(answer.endedMs - answer.sentMs)} ms`);
			results.push({...answer, id, afterStopMs: answer.sentMs - stopMs});
		}

		consumer.close();
	};

	const consumers = Promise.all(['a', 'b', 'c'].map(async name => consume(name)));
	await sleep(beforeStopMs);
	if (hasTrouble) {
		stopMs = performance.now();
		entry.isTold = true;
		entry.child.kill('SIGTERM');
		record(`SIGTERM to ${entry.name}; grace ${bounds.graceMs} ms`);
	}

	await consumers;
	await site.stop();

	// Requests sent up to 3 s after the signal that the replica was still at work on near the end of the grace period don't count.
	const lost = results.filter(({id, isComplete, afterStopMs}) => !isComplete && arrivals.includes(id) && afterStopMs > 3000);
	record(`${results.length} requests, ${lost.length} sent later than 3 s after SIGTERM, passed on to a replica and ended without a complete answer`);
	return lost.length > 0 || (!hasTrouble && results.some(({isComplete}) => !isComplete)) ? 'broken' : 'held';
}));
