import {spawn, type ChildProcess} from 'node:child_process';
import {
	Agent, createServer, request, type IncomingMessage, type ServerResponse,
} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {createPlatformStore, listenOn, startPassServers} from '@papayaflow/standins';
import {readCpuSeconds, type CpuSeconds} from './process.js';

/*
Measures the processor time of a whole fleet of real processes on loopback: per role, user
and kernel, in the start, while idle and under requests, with the frames of each kind.

node --import tsx packages/bench/src/fleet-cost.ts --entries 35 --groups 3 --ranks 64
*/

const programs = path.resolve(import.meta.dirname, '../../../target');
const zones = ['a', 'b', 'c', 'd', 'e'];
const peerPort = 17_340;
const metricsPort = 19_464;
const heartbeatMs = 1200;
const layers = 12;
const expertsPerLayer = 256;
const eventsPerStream = 15;
const eventIntervalMs = 60;

const {values: args} = parseArgs({
	options: {
		entries: {type: 'string', default: '5'}, groups: {type: 'string', default: '1'}, ranks: {type: 'string', default: '25'},
		'start-s': {type: 'string', default: '16'}, 'idle-s': {type: 'string', default: '10'}, 'load-s': {type: 'string', default: '10'},
		'per-second': {type: 'string', default: '0'}, profile: {type: 'string', default: ''}, programs: {type: 'string', default: programs},
	},
});
const entryCount = Number(args.entries);
const groupCount = Number(args.groups);
const rankCount = Number(args.ranks);
const requestsPerSecond = Number(args['per-second']);

type Program = {readonly role: string; readonly host: string; readonly child: ChildProcess};
type Sample = {readonly cpu: readonly CpuSeconds[]; readonly frames: ReadonlyMap<string, number>; readonly storeCalls: number};

const store = createPlatformStore(Date.now);
const storePort = await listenOn(store.server);
let running = 0;
const hostOf = (kind: number, index: number): string => `127.${kind}.${Math.floor(index / 250)}.${1 + (index % 250)}`;

async function streamEvents(req: IncomingMessage, res: ServerResponse): Promise<void> {
	running++;
	req.resume();
	res.writeHead(200, {'content-type': 'text/event-stream', 'x-request-id': req.headers['x-request-id'] ?? '', 'x-replica-seal': 's'});
	for (let id = 1; id <= eventsPerStream && !res.destroyed; id++) {
		await sleep(eventIntervalMs);
		res.write(`id: ${id}\ndata: piece\n\n`);
	}

	res.end();
	running--;
}

const groups = await Promise.all(Array.from({length: groupCount}, async (_, group) => startPassServers({
	name: `g${group}`, ranks: rankCount, layers, expertsPerLayer, passMs: eventIntervalMs, demand: (_layer, expert) => 1 + (expert % 3), hasRequests: () => running > 0,
	hosts: Array.from({length: rankCount}, (_, rank) => hostOf(41, (group * rankCount) + rank)),
	serve(_rank, req, res) {
		void streamEvents(req, res);
	},
})));
const targets = groups.flatMap(({addresses}) => addresses);

const plainServer = createServer((req, res) => {
	req.resume();
	setTimeout(() => {
		res.writeHead(200, {'x-request-id': req.headers['x-request-id'] ?? '', 'x-replica-seal': 's', 'content-length': 2});
		res.end('ok');
	}, 20);
});
const plainAddress = `127.0.0.1:${await listenOn(plainServer)}`;
const routeOf = (service: string, kind: string): unknown => ({
	name: service, host: 'h.example', prefix: `/${service}/`, route_kind: kind, timeout_ms: 8000, target_latency_ms: 600, target_gap_ms: 200, service, max_attempts: 2, public: true, resumable: true,
});
store.put('op/config', JSON.stringify({
	version: 1,
	routes: [routeOf('plain', 'idempotent'), routeOf('model', 'streaming')],
	services: [{name: 'plain', max_connections: 400}, {
		name: 'model', max_connections: 544,
		engine: {
			slots: 6, kv_capacity: 127_272, stride: 6, step_ms: 4.55, per_seq_ms: 1.99, read_per_s: 61_400, chunk: 512, usual: {prompt: 800, answer: 90},
			sets: layers, experts: expertsPerLayer, placements: 5, spare: 2, expert_share: 0.85, form_ms: 600, expert_mb: 210,
		},
	}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3000, idle_timeout_ms: 10_000,
	},
}));

const register = (id: string, service: string, address: string, seq: number): void => {
	store.put(`servers/${id}`, JSON.stringify({
		service, address, zone: zones[Number(id.split('-')[1]) % zones.length], version: '1', slots: 6, state: 'ready', cold_remaining_ms: 0, seq, born: 1,
	}));
};

const registerAll = async (seq: number): Promise<void> => {
	for (const [index, address] of targets.entries()) {
		register(`e-${index}`, 'model', address, seq);
		// Targets report one after the other, so that each watch of the store sees some of them.
		await sleep(heartbeatMs / targets.length / 2);
	}

	register('p-0', 'plain', plainAddress, seq);
};

let reports = 0;
void registerAll(reports);
setInterval(() => {
	void registerAll(++reports);
}, heartbeatMs).unref();

const startProgram = (role: 'entry' | 'sidecar', index: number, more: readonly string[]): Program => {
	const host = role === 'entry' ? hostOf(42, index) : targets[index].split(':')[0];
	const isProfiled = args.profile === role && index === (role === 'entry' ? 0 : 5);
	const child = spawn(process.execPath, [
		...(isProfiled ? ['--cpu-prof', '--cpu-prof-interval=200', `--cpu-prof-name=fleet-${role}.cpuprofile`] : []),
		`--max-old-space-size=${role === 'entry' ? 200 : 120}`,
		path.join(args.programs, `papayaflow-${role}.js`),
		'direct',
		'--instance',
		`${role}-${index}`,
		'--zone',
		zones[index % zones.length],
		'--address',
		host,
		'--store',
		`127.0.0.1:${storePort}`,
		'--peer-port',
		String(peerPort),
		'--metrics-port',
		String(metricsPort),
		'--config-ms',
		'4000',
		'--drain-ms',
		'4000',
		'--report-ms',
		String(heartbeatMs),
		...more,
	], {stdio: ['ignore', 'ignore', 'inherit']});
	return {role, host, child};
};

const started = [
	...targets.map((target, index) => startProgram('sidecar', index, ['--target', target])),
	...Array.from({length: entryCount}, (_, index) => startProgram('entry', index, ['--listen', `${hostOf(42, index)}:18000`, '--admin', `${hostOf(42, index)}:18001`])),
];

async function readFrames(role: string): Promise<ReadonlyMap<string, number>> {
	const totals = new Map<string, number>();
	for (const {host} of started.filter(program => program.role === role)) {
		const res = await fetch(`http://${host}:${metricsPort}/metrics`).catch(() => undefined);
		const text = await res?.text() ?? '';
		for (const [, name, value] of text.matchAll(/^papayaflow_((?:frames_received|pulls|copies_sent)\S*) (\d+)/gmv)) {
			totals.set(`${role} ${name}`, (totals.get(`${role} ${name}`) ?? 0) + Number(value));
		}
	}

	return totals;
}

const sample = async (): Promise<Sample> => {
	const cpu = await Promise.all(started.map(async ({child}) => readCpuSeconds(child.pid ?? 0)));
	const frames = new Map([...await readFrames('entry'), ...await readFrames('sidecar')]);
	return {
		cpu, frames, storeCalls: [...store.calls.values()].reduce((sum, count) => sum + count, 0),
	};
};

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

function print(phase: string, seconds: number, before: Sample | undefined, after: Sample): void {
	process.stdout.write(`\n${phase}, ${seconds.toFixed(1)} s: store calls ${after.storeCalls - (before?.storeCalls ?? 0)}\n`);
	for (const role of ['entry', 'sidecar']) {
		const spent = started.flatMap((program, index) => program.role === role
			? [{user: after.cpu[index].user - (before?.cpu[index].user ?? 0), kernel: after.cpu[index].kernel - (before?.cpu[index].kernel ?? 0)}]
			: []);
		const totals = spent.map(({user, kernel}) => user + kernel);
		const sum = totals.reduce((total, value) => total + value, 0);
		const [user, kernel] = [meanOf(spent.map(cpu => cpu.user)), meanOf(spent.map(cpu => cpu.kernel))];
		process.stdout.write(`  ${role}: user ${user.toFixed(3)} s, kernel ${kernel.toFixed(3)} s, most ${Math.max(...totals).toFixed(2)} s; `);
		process.stdout.write(`all ${sum.toFixed(1)} s, ${(100 * meanOf(totals) / seconds).toFixed(2)} % of a core each\n`);
	}

	const perSecond = [...after.frames].map(([name, count]) => [name, (count - (before?.frames.get(name) ?? 0)) / seconds] as const).filter(([, rate]) => rate > 0.05).toSorted((a, b) => b[1] - a[1]);
	for (const [name, rate] of perSecond.slice(0, 16)) {
		process.stdout.write(`    ${name}: ${rate.toFixed(1)}/s\n`);
	}
}

const results = {answered: 0, refused: 0, lost: 0};
const agent = new Agent({keepAlive: true});
const call = (index: number): void => {
	const service = index % 9 === 0 ? 'plain' : 'model';
	const req = request({
		agent, host: hostOf(42, index % entryCount), port: 18_000, path: `/${service}/x`,
		headers: {
			host: 'h.example', 'x-request-id': `c-${index}`, 'x-deadline-ms': '8000', 'x-token-counts': '800,120', 'x-prompt-prefix': `a${index % 60}:40,u${index}:760`,
		},
	}, res => {
		res.resume();
		res.on('end', () => {
			results[res.statusCode === 200 ? 'answered' : 'refused']++;
		});
		res.on('error', () => {
			results.lost++;
		});
	});
	req.on('error', () => {
		results.lost++;
	});
	req.end();
};

let last: Sample | undefined;
const measure = async (phase: string, seconds: number, during: () => Promise<void>): Promise<void> => {
	const startedMs = performance.now();
	await during();
	await sleep((seconds * 1000) - (performance.now() - startedMs));
	const elapsed = (performance.now() - startedMs) / 1000;
	const after = await sample();
	print(phase, elapsed, last, after);
	last = await sample();
};

await measure('start', Number(args['start-s']), async () => undefined);
await measure('idle', Number(args['idle-s']), async () => undefined);
if (requestsPerSecond > 0) {
	await measure('load', Number(args['load-s']), async () => {
		const startedMs = performance.now();
		for (let sent = 0; performance.now() - startedMs < Number(args['load-s']) * 1000; sent++) {
			call(sent);
			await sleep(Math.max(0, startedMs + ((sent + 1) * 1000 / requestsPerSecond) - performance.now()));
		}
	});
	process.stdout.write(`requests: ${JSON.stringify(results)}\n`);
}

for (const {child} of started) {
	child.kill('SIGTERM');
}

await sleep(args.profile === '' ? 500 : 6000);
for (const {child} of started) {
	child.kill('SIGKILL');
}

process.exit(0);
