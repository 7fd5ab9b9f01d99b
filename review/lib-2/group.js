import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

async function readJson(req) {
	let text = '';
	for await (const chunk of req) {
		text += String(chunk);
	}

	return JSON.parse(text);
}

/**
Starts the servers of a group's ranks, which begin each pass together and copy the experts of a
map as the users' pages say. `breaches` lists the passes that began while two ranks had different maps.

@example
const group = await startExpertGroup({hosts, layers: 3, experts: 24, spare: 4, copyMs: 400, passMs: 80, demand: () => 1, hasRequests: () => true, serve, onOrder});
*/
export async function startExpertGroup({hosts, layers, experts, spare, copyMs, passMs, demand, hasRequests, serve, onOrder}) {
	const count = hosts.length;
	const layerInTurn = Array.from({length: count}, (_, rank) => Array.from({length: experts}, (__, expert) => expert).filter(expert => expert % count === rank));
	const mapInTurn = {version: 0, content: Array.from({length: layers}, () => layerInTurn)};
	const ranks = hosts.map(() => ({
		map: mapInTurn, prepared: undefined, copying: undefined, highest: 0, armed: undefined, held: undefined, fence: 0, counts: Array.from({length: layers * experts}, () => 0),
	}));
	const breaches = [];
	let pass = 0;
	let epoch = 1;
	let isOpen = true;

	const settleCopy = state => {
		if (state.copying && performance.now() >= state.copying.untilMs) {
			state.prepared = state.copying.map;
			state.copying = undefined;
		}
	};

	const applyOrder = (rank, {operation, version, step, map, epoch: orderEpoch, fencing_token: fence}) => {
		const state = ranks[rank];
		settleCopy(state);
		if (fence < state.fence) {
			return 412;
		}

		if (orderEpoch !== epoch || !isOpen) {
			return 409;
		}

		state.fence = fence;
		switch (operation) {
			case 'prepare': {
				const added = map.map((layer, index) => layer[rank].filter(expert => !state.map.content[index][rank].includes(expert)).length);
				if (version <= state.highest || state.armed || Math.max(...added) > spare) {
					return 409;
				}

				const copies = added.reduce((sum, number) => sum + number, 0);
				state.highest = version;
				state.prepared = undefined;
				state.copying = {map: {version, content: map}, untilMs: performance.now() + (copies * copyMs)};
				return 202;
			}

			case 'arm': {
				if (state.armed) {
					return state.armed.version === version && state.armed.step === step ? 200 : 409;
				}

				if (state.prepared?.version !== version || step <= pass) {
					return 409;
				}

				state.armed = {version, step};
				return 202;
			}

			case 'disarm': {
				if (state.map.version === version) {
					return 409;
				}

				state.armed = state.armed?.version === version ? undefined : state.armed;
				return 200;
			}

			case 'hold': {
				if (state.held !== undefined || step <= pass) {
					return state.held === step ? 200 : 409;
				}

				state.held = step;
				return 202;
			}

			case 'go': {
				state.held = state.held === step ? undefined : state.held;
				return 200;
			}

			default: {
				return 400;
			}
		}
	};

	const answerReport = rank => {
		const state = ranks[rank];
		settleCopy(state);
		const entries = [
			['group', {
				name: 'g0', epoch, rank, state: isOpen ? 'open' : 'broken',
			}],
			['size', count],
			['busy', state.copying !== undefined],
			['queued', 0],
			['active', 1],
			['kv_used', 0],
			['step', pass],
			['map', state.map.version],
			['prepared', state.prepared?.version ?? null],
			['armed', state.armed ?? null],
			['held', state.held ?? null],
			['pace', 1],
		];
		return Object.fromEntries(entries);
	};

	const answerPicked = (rank, hasLists) => {
		const {map, counts} = ranks[rank];
		return hasLists ? {epoch, map: {version: map.version, experts: map.content.map(layer => layer[rank])}, prepared: null} : {step: pass, epoch, counts};
	};

	const beginPass = () => {
		if (!isOpen || !hasRequests() || ranks.some(({held}) => held !== undefined && held <= pass + 1)) {
			return;
		}

		pass++;
		for (const state of ranks) {
			settleCopy(state);
			if (state.armed && state.armed.step <= pass) {
				state.map = state.prepared;
				state.prepared = undefined;
				state.armed = undefined;
			}

			for (const index of state.counts.keys()) {
				state.counts[index] += demand(Math.floor(index / experts), index % experts);
			}
		}

		const contents = ranks.map(({map}) => JSON.stringify(map));
		const others = contents.flatMap((content, rank) => content === contents[0] ? [] : [rank]);
		if (others.length > 0) {
			breaches.push({pass, versions: ranks.map(({map}) => map.version), others});
		}
	};

	const servers = await Promise.all(hosts.map(async (host, rank) => {
		const server = createServer(async (req, res) => {
			const {pathname, searchParams} = new URL(req.url, 'http://rank');
			const reply = (status, body) => {
				res.writeHead(status, {'content-type': 'application/json'});
				res.end(JSON.stringify(body));
			};

			switch (pathname) {
				case '/papayaflow/report': {
					reply(200, answerReport(rank));

					break;
				}

				case '/papayaflow/picked': {
					reply(200, answerPicked(rank, searchParams.has('lists')));

					break;
				}

				case '/papayaflow/order': {
					const order = await readJson(req);
					const status = applyOrder(rank, order);
					onOrder(rank, order, status);
					reply(status, {});

					break;
				}

				default: {
					serve(rank, req, res);
				}
			}
		});
		server.listen(0, host);
		await once(server, 'listening');
		return server;
	}));
	const timer = setInterval(beginPass, passMs);
	const addresses = servers.map(server => server.address());
	return {
		addresses: addresses.map(({address, port}) => `${address}:${port}`),
		breaches, ranks,
		isOpen: () => isOpen,
		/** Crashes the server of a rank, which is back after `downMs`; the group opens in a new epoch `formMs` later. */
		async crash(rank, downMs, formMs) {
			isOpen = false;
			servers[rank].close();
			servers[rank].closeAllConnections();
			await sleep(downMs);
			servers[rank].listen(addresses[rank].port, addresses[rank].address);
			await sleep(formMs);
			for (const state of ranks) {
				Object.assign(state, {
					map: mapInTurn, prepared: undefined, copying: undefined, highest: 0, armed: undefined, held: undefined,
				});
			}

			ranks[rank].fence = 0;
			epoch++;
			isOpen = true;
		},
		pass: () => pass,
		stop() {
			clearInterval(timer);
			for (const server of servers) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
}
