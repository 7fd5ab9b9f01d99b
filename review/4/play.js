#!/usr/bin/env node
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/case.js';
import {openConsumer} from '../lib/consumer.js';
import {bounds, key, startSite} from '../lib/site.js';

/** How long after the connections go silent the entry is removed, in milliseconds. */
const removeAfterMs = 500;
/** How long after the removal of its entry the replica exits, in milliseconds. */
const exitAfterMs = 4500;
const playMs = 9000;
const pauseMs = 40;

process.exit(await runCase(import.meta.dirname, async ({hasTrouble, record, onStop}) => {
	const leaving = 'i-ledger-2';
	const arrivals = [];
	const sent = new Map();
	let removedMs = Number.POSITIVE_INFINITY;
	const site = await startSite({
		onStop,
		entries: 2, ranks: 3, plains: 3, record, keepsReporting: id => id !== leaving || removedMs === Number.POSITIVE_INFINITY,
		onArrival(id, requestId) {
			if (id === leaving) {
				arrivals.push({requestId, atMs: performance.now()});
			}
		},
	});
	const statuses = new Map();
	const lostPayments = [];
	const startMs = performance.now();
	const consume = async (name, entry) => {
		let consumer;
		for (let count = 0; performance.now() < startMs + playMs; count++) {
			const id = `${name}-${count}`;
			if (!consumer || consumer.isClosed) {
				consumer = openConsumer(site.frontOf(entry));
			}

			sent.set(id, {atMs: performance.now(), entry: entry.name});
			const isPayment = count % 2 === 0;
			const {status, body} = await consumer.ask({
				id, method: isPayment ? 'POST' : 'GET', path: isPayment ? '/puxa403/2f' : '/kivo118/2f', key, deadlineMs: 604, body: isPayment ? 'pay' : '',
			});
			statuses.set(status, (statuses.get(status) ?? 0) + 1);
			if (isPayment && status !== 200 && arrivals.some(({requestId}) => requestId === id)) {
				lostPayments.push(id);
				record(`payment ${id}, which ${leaving} had received, is answered ${status} ${/"reason":"\w+"/v.exec(body)?.[0] ?? ''}`);
			}

			await sleep(pauseMs);
		}

		consumer?.close();
	};

	const consumers = Promise.all(site.entries.flatMap(entry => [...'abcdefgh'].map(async name => consume(`${entry.name}-${name}`, entry))));
	await sleep(1000);
	let silencedMs = Number.NEGATIVE_INFINITY;
	if (hasTrouble) {
		silencedMs = performance.now();
		record(`${site.proxy.silenceOpenConnections()} open connections to the store go silent; new ones work`);
	}

	await sleep(removeAfterMs);
	removedMs = performance.now();
	site.store.remove(`servers/${leaving}`);
	record(`the entry of ${leaving}, which never reported draining, is removed; it goes on serving`);
	await sleep(exitAfterMs);
	site.endLedger(leaving);
	record(`${leaving} exits`);
	await consumers;
	await site.stop();

	const inTouchMs = silencedMs + bounds.stableWindowMs;
	const boundMs = removedMs + bounds.drainMs;
	const late = arrivals.filter(({requestId, atMs}) => atMs > boundMs && sent.get(requestId).atMs > Math.max(boundMs, inTouchMs));
	for (const {requestId, atMs} of late) {
		record(`${leaving} receives ${requestId} from ${sent.get(requestId).entry} ${Math.round(atMs - removedMs)} ms after its removal and ${Math.round(atMs - inTouchMs)} ms after the machine is in touch again`);
	}

	const lastMs = Math.max(...arrivals.map(({atMs}) => atMs));
	record(`statuses ${[...statuses].map(([status, count]) => `${status}: ${count}`).join(', ')}; the last request reaches ${leaving} ${Math.round(lastMs - removedMs)} ms after its removal`);
	record(`${late.length} requests reach ${leaving} later than drain_ms after its removal, from machines in touch; ${lostPayments.length} payments that it had received are lost as it exits`);
	return late.length > 0 ? 'broken' : 'held';
}));
