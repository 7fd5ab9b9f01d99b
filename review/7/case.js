import {readFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	bounds, hasTrouble, runCase, smallConfiguration, startSite, waitFor,
} from '../lib-2/site.js';

const rankCount = 6;
const expertCount = 12;
const passMs = 90;
const eventsPerStream = 10;

/** The pause between two streams, in milliseconds. */
const pauseMs = 120;

/** The time in which a group should be back after its connections went silent, in milliseconds. */
const settledMs = 10_000;

/** How often other experts are in demand, in milliseconds. */
const shiftMs = 3000;

await runCase(import.meta.dirname, async record => {
	let shift = 0;
	let isWaitingForArm = false;
	let silentAtMs;
	const streams = new Set();
	const silence = (rank, {proxies}) => {
		isWaitingForArm = false;
		silentAtMs = performance.now();
		record(`server ${rank}`, 'has got the order to arm');
		for (const proxy of proxies) {
			proxy.silence();
		}

		record('network', 'all open connections between the machines go silent, without a reset; new ones work');
	};

	const configuration = smallConfiguration(JSON.parse(readFileSync(path.join(import.meta.dirname, 'engine.json'), 'utf8')));
	const site = await startSite({
		record, entries: 4, ranks: rankCount, plains: [(_req, res) => res.destroy()], configuration, hasProxies: true,
		engineOptions: {
			expertsPerLayer: expertCount, passMs, hasRequests: () => streams.size > 0,
			demand: (_layer, expert) => (expert + shift) % expertCount < 2 ? 12 : 1,
			orderDelivery(rank, operation) {
				record(`server ${rank}`, `gets the order ${operation}`);
				if (isWaitingForArm && operation === 'arm' && rank >= 3) {
					silence(rank, site);
				}

				return {kind: 'prompt'};
			},
		},
		serveEngine(rank, req, res) {
			req.resume();
			const id = req.headers['x-request-id'];
			const stream = {res, sent: Number(req.headers['last-event-id'] ?? 0)};
			record(`server ${rank}`, `runs ${id}`);
			res.writeHead(200, {'x-request-id': id, 'x-replica-seal': `s-${id}`, 'content-type': 'text/event-stream'});
			streams.add(stream);
			res.on('close', () => streams.delete(stream));
		},
	});
	let lastPass = 0;
	const passTimer = setInterval(() => {
		const pass = site.group.group.pass();
		if (pass === lastPass) {
			return;
		}

		lastPass = pass;
		for (const stream of streams) {
			stream.sent++;
			stream.res.write(`id: ${stream.sent}\ndata: piece\n\n`);
			if (stream.sent === eventsPerStream) {
				streams.delete(stream);
				stream.res.end();
			}
		}
	}, 10);
	const results = [];
	let count = 0;
	let isLoading = true;
	const load = (async () => {
		while (isLoading) {
			const entry = site.entries[count++ % site.entries.length];
			results.push(site.call(entry, {route: 'draft', body: 'prompt', headers: {'x-token-counts': '100,40', 'x-prompt-prefix': `aa:10,${count.toString(16)}:90`}}));
			await sleep(pauseMs);
		}
	})();
	const shifting = setInterval(() => {
		shift += 5;
	}, shiftMs);
	const mapOf = () => site.group.group.ranks[0].map;
	await waitFor('the group has changed its map twice', () => mapOf() > 0 && site.sidecars[0].lines.filter(line => line.includes('"map switch ended"') && line.includes('"switched"')).length > 1);
	await sleep(15_000);
	if (hasTrouble) {
		isWaitingForArm = true;
		await waitFor('a change of the map is under way', () => silentAtMs !== undefined);
	}

	await sleep(20_000);
	const {group} = site.group;
	const listRanks = read => group.ranks.map((state, rank) => read(state, rank) ?? '-').join(' ');
	const describe = () => [
		`pass ${group.pass()}`, `held ${listRanks((_, rank) => group.held(rank))}`, `armed ${listRanks(({armed}) => armed?.version)}`, `prepared ${listRanks(({prepared}) => prepared)}`,
	].join(', ');
	record('group', describe());
	const killedMs = performance.now();
	for (const {child} of [...site.entries, ...site.sidecars]) {
		child.kill('SIGKILL');
	}

	record('harness', 'the final fault: all processes of the system are killed');
	await sleep(600);
	await Promise.all([...site.sidecars.map(async (_, rank) => site.startSidecar(rank)), ...site.entries.map(async (_, index) => site.startEntry(index))]);
	const backMs = performance.now();
	await sleep((bounds.recoveryS * 1000) + 12_000);
	record('group', describe());
	isLoading = false;
	await load;
	const endedMs = performance.now();
	const all = await Promise.all(results);
	clearInterval(shifting);
	clearInterval(passTimer);
	const state = describe();
	await site.stop();
	const isServed = ({status, body = ''}) => status === 200 && body.includes(`id: ${eventsPerStream}\n`);
	const ratioOf = part => part.filter(result => isServed(result)).length / part.length;
	const before = all.filter(({sentMs}) => sentMs < killedMs);
	const after = all.filter(({sentMs}) => sentMs > backMs + (bounds.recoveryS * 1000) && sentMs < endedMs);
	const held = all.filter(({sentMs}) => sentMs > (silentAtMs ?? killedMs) + settledMs && sentMs < killedMs);
	const percent = part => part.length === 0 ? 'none' : `${Math.round(100 * ratioOf(part))} % of ${part.length}`;
	const parts = [`served ${percent(before)} requests sent before the final fault`, `${percent(after)} sent more than ${bounds.recoveryS} s after the processes were back`];
	if (held.length > 0) {
		parts.push(`${percent(held)} sent from ${settledMs / 1000} s after the connections went silent until the final fault`);
	}

	return {isBroken: ratioOf(before) >= 0.25 && ratioOf(after) < 0.25, summary: [...parts, `at the end ${state}`].join('; ')};
});
