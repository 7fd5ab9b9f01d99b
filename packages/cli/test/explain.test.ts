import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {startSite, type Site} from './site.js';

const program = path.join(import.meta.dirname, '../../../target/papayaflow.js');

/** Runs `papayaflow explain` and returns its exit code and what it has written. */
async function explain(...args: readonly string[]): Promise<{readonly code: number; readonly out: string; readonly err: string}> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, [program, 'explain', ...args], (_error, out, err) => {
			resolve({code: child.exitCode ?? -1, out, err});
		});
	});
}

// Guards against a command that says something else than what the entry does, or that sends the request.
describe('papayaflow explain', () => {
	let site: Site;
	let entry: string;

	before(async () => {
		site = await startSite({entries: 1, ranks: 3, plains: 2});
		entry = `http://127.0.0.1:${site.entries[0].adminPort}`;
	});

	after(async () => {
		await site.stop();
	});

	it('shows the choice among plain targets, as text and as JSON, and sends nothing', async () => {
		const arrivals = (): number => site.plains.reduce((sum, plain) => sum + plain.arrivalsMs.length, 0);
		const before = arrivals();
		const text = await explain('h.example', '/plain/x', '--entry', entry);
		expect(text).to.deep.include({code: 0, err: ''});
		expect(text.out).to.match(/route plain \(idempotent\), version 1/v).and.match(/choice: target p-[01], by lowest cost/v);
		const {out, code} = await explain('h.example', '/plain/x', '--entry', entry, '--json');
		const parsed = JSON.parse(out) as {service: string; candidates: ReadonlyArray<{target: string; excludedBy: readonly unknown[]}>};
		expect(code).to.equal(0);
		expect(parsed.service).to.equal('plain');
		expect(parsed.candidates.map(({target, excludedBy}) => [target, excludedBy])).to.have.deep.members([['p-0', []], ['p-1', []]]);
		expect(arrivals()).to.equal(before);
	});

	it('names the coordinator of the group and its load, which counts no request for it', async () => {
		const {out, code} = await explain('h.example', '/model/x', '--entry', entry, '--json');
		type Group = {readonly group: string; readonly coordinator: string; readonly load: {readonly running: number; readonly room: number}};
		const parsed = JSON.parse(out) as {readonly groups: readonly Group[]; readonly choice: unknown};
		expect(code).to.equal(0);
		expect(parsed.groups).to.have.length(1);
		const [{group, coordinator, load}] = parsed.groups;
		expect(parsed.choice).to.deep.equal({kind: 'coordinator', group, coordinator});
		expect(load.running).to.equal(0);
		expect(load.room).to.be.above(0);
	});

	it('exits with a code and a message for an unknown route, an unreachable entry, a process that does not explain and a missing address', async () => {
		expect(await explain('h.example', '/none', '--entry', entry)).to.include({code: 3, err: 'papayaflow: the request would be refused: noRoute: no route for h.example/none in version 1\n'});
		const unreachable = await explain('h.example', '/plain/x', '--entry', 'http://127.0.0.1:9');
		expect(unreachable.code).to.equal(1);
		expect(unreachable.err).to.include('the entry at http://127.0.0.1:9 can\'t be reached');
		const [{child: {spawnargs}, adminPort}] = site.sidecars;
		const sidecar = await explain('h.example', '/plain/x', '--entry', `http://${spawnargs[spawnargs.indexOf('--address') + 1]}:${adminPort}`);
		expect(sidecar).to.include({code: 1}).and.have.property('err').that.includes('does not explain: status 404, noSuchEndpoint');
		expect(await explain('h.example', '/plain/x')).to.include({code: 2});
	});
});
