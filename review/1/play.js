#!/usr/bin/env node
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.js';
import {openConsumer} from '../lib/consumer.js';
import {key, startSite} from '../lib/site.js';

const playMs = 15_000;
/** The longest pause of a caller between two requests, in milliseconds. */
const maxPauseMs = 120;
/** How long a payment takes, in milliseconds; the longest on the users' sheet takes 220. */
const ledgerWorkMs = 200;
/** The requests that may be cut off. */
const maxLost = 3;

process.exit(await runCase(import.meta.dirname, async ({hasTrouble, record, onStop}) => {
	const arrivals = new Set();
	const site = await startSite({
		onStop,
		entries: 2, ranks: 3, plains: 3, ledgerWorkMs, record,
		onArrival(id, requestId) {
			arrivals.add(requestId);
		},
	});
	const answers = new Map();
	const lost = [];
	const endMs = performance.now() + playMs;
	const consume = async (name, entry) => {
		let consumer;
		let isKept = false;
		await sleep(Math.random() * ledgerWorkMs);
		for (let count = 0; performance.now() < endMs; count++) {
			const id = `${name}-${count}`;
			if (!consumer || consumer.isClosed) {
				consumer = openConsumer(site.frontOf(entry));
				isKept = false;
			}

			const answer = await consumer.ask({
				id, method: 'POST', path: '/puxa403/2f', key, deadlineMs: 606, body: 'pay',
			});
			const isCut = !answer.isComplete && arrivals.has(id);
			const what = answer.isComplete ? `status ${answer.status}` : (isCut ? 'cut off after a replica had received it' : 'no connection or no answer');
			answers.set(what, (answers.get(what) ?? 0) + 1);
			if (isCut) {
				record(`${id} to ${entry.name} on a ${isKept ? 'kept' : 'new'} connection: ${what}`);
				lost.push({id, isKept});
			}

			isKept = true;
			await sleep(Math.random() * maxPauseMs);
		}

		consumer?.close();
	};

	const consumers = Promise.all(site.entries.flatMap(entry => [...'abcdefgh'].map(async name => consume(`${entry.name}-${name}`, entry))));
	await sleep(2000);
	if (hasTrouble) {
		// An entry of another writer: `version`, `seq`, `born` and `cold_remaining_ms` are missing, and no machine can have the port.
		const stray = {
			service: 'wage-ledger', address: `${site.network}.240:80000`, zone: 'salt-lake', slots: 6, state: 'ready',
		};
		site.store.put('servers/i-stray', stray);
		record(`another writer put servers/i-stray: ${JSON.stringify(stray)}`);
	}

	await consumers;
	await site.stop();
	for (const [what, count] of answers) {
		record(`${count} requests: ${what}`);
	}

	const ended = [...site.entries, ...site.sidecars].map(({name, ends}) => ({name, count: ends.filter(({isOwn}) => isOwn).length}));
	const kept = lost.filter(request => request.isKept);
	record(`programs that ended by themselves: ${ended.map(({name, count}) => `${name} ${count}`).join(', ')}`);
	record(`${lost.length} requests cut off that a replica had received, ${kept.length} of them on kept connections`);
	return kept.length > maxLost ? 'broken' : 'held';
}));
