import {setTimeout as sleep} from 'node:timers/promises';
import {
	bounds, hasTrouble, runCase, startSite,
} from '../lib-2/site.js';

const reportMs = 1200;

/** The usual time of a payment, and that of the long one, in milliseconds. */
const workMs = 40;
const longWorkMs = 5700;

await runCase(import.meta.dirname, async record => {
	const arrivals = [];
	const leavingServers = new Set();
	const createHandler = index => async (req, res) => {
		const id = req.headers['x-request-id'];
		arrivals.push({
			server: index, id, path: req.url, atMs: performance.now(),
		});
		record(`server ${index}`, `runs ${id}`);
		req.resume();
		await sleep(req.url.endsWith('/long') ? longWorkMs : workMs);
		const isLeaving = leavingServers.has(index);
		record(`server ${index}`, `answers ${id}${isLeaving ? ' with Server-Leaving: 1' : ''}`);
		res.writeHead(200, {
			'x-request-id': id, 'x-replica-seal': `s-${id}`, 'content-length': 2, ...(isLeaving && {'server-leaving': '1'}),
		});
		res.end('ok');
	};

	const site = await startSite({
		record, entries: 2, ranks: 3, plains: [0, 1, 2].map(index => createHandler(index)), serveEngine: (_rank, _req, res) => res.destroy(),
	});
	const [entry] = site.entries;
	const pay = async name => site.call(entry, {route: 'payment', body: 'pay', name});
	for (let i = 0; i < 30; i++) {
		await pay();
	}

	const long = pay('long');
	await sleep(300);
	const {server} = arrivals.find(({path}) => path.endsWith('/long'));
	const id = `i-plain${server}`;
	const registration = site.registrations.get(id);
	site.write(id);
	if (hasTrouble) {
		registration.isCut = true;
		record(`server ${server}`, 'is cut off from the store, not from the entries');
		await sleep(3 * reportMs);
		site.store.remove(`servers/${id}`);
		record('store', `has removed the entry of server ${server} after three report intervals of silence`);
		await sleep(reportMs);
		registration.isCut = false;
		site.write(id);
		record(`server ${server}`, 'reaches the store again and reports, in the same lifetime');
		await sleep(200);
		registration.isCut = true;
		record(`server ${server}`, 'is cut off from the store again');
	} else {
		await sleep((4 * reportMs) + 200);
	}

	leavingServers.add(server);
	registration.state = 'draining';
	site.write(id);
	record(`server ${server}`, hasTrouble ? 'leaves; the store does not get its report' : 'leaves and reports draining');
	const {endedMs: passedOnMs, headers} = await long;
	await sleep(Math.max(0, passedOnMs + bounds.drainMs + 200 - performance.now()));
	const late = [];
	for (let i = 0; i < 5; i++) {
		late.push(await pay());
	}

	await site.stop();
	const reached = late.filter(({id: lateId}) => arrivals.some(arrival => arrival.id === lateId && arrival.server === server));
	const isBroken = headers['server-leaving'] === '1' && reached.length > 0;
	const afterMs = reached.map(({sentMs}) => `${Math.round(sentMs - passedOnMs)} ms`).join(', ');
	const summary = `${reached.length} of ${late.length} requests sent more than ${bounds.drainMs} ms after the entry had passed on an answer with Server-Leaving reached that server from it`;
	return {isBroken, summary: reached.length > 0 ? `${summary}: ${afterMs} after` : summary};
});
