import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {
	mkdir, mkdtemp, rm, utimes, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {readSettings} from '@papayaflow/settings';
import {directEntrySettings} from '../src/direct-entry-wiring.js';
import {directSidecarSettings} from '../src/direct-sidecar-wiring.js';

const run = promisify(execFile);
const root = path.join(import.meta.dirname, '../../..');
const deployment = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');

/** The programs of the deploy file, with the flags of Node that it gives them. */
const programs = [...deployment.matchAll(/"node (?<flags>.*?)target\/(?<program>[\w\-]+)\.js/gv)]
	.map(({groups}) => ({program: groups!.program, flags: groups!.flags.split(' ').filter(Boolean)}));

// These guard against starts that compile the whole program again, which takes long where hundreds of processes start at once after an outage.
describe('the programs of the deploy file', () => {
	it('start with the code that the build compiled for the flags of that file', async () => {
		expect(programs.map(({program}) => program)).to.deep.equal(['papayaflow-entry', 'papayaflow-sidecar']);
		for (const {program, flags} of programs) {
			const check = `const {loadBundle} = await import('./target/load.js');
				process.stdout.write(String(loadBundle(path.resolve('target/${program}.cjs')).script.cachedDataRejected));`;
			const {stdout} = await run(process.execPath, [...flags, '--input-type=module', '--eval', check], {cwd: root});
			expect(stdout, program).to.equal('false');
		}
	});

	it('start with other flags too, for which there is no compiled code', async () => {
		for (const {program} of programs) {
			const {stdout} = await run(process.execPath, ['--max-old-space-size=111', `target/${program}.js`, 'direct', '--help'], {cwd: root});
			expect(stdout).to.include('--instance');
		}
	});
});

const addresses: Readonly<Record<string, string>> = {
	node: 'edge-1', zone: 'z0', ip: '10.0.0.1', app: '10.0.0.1:8000', 'listen.front': '10.0.0.1:80', 'listen.ready_endpoint': '10.0.0.1:8081', 'platform.address': '10.0.0.9:2379', 'port_range.0': '7000',
};

const zones: Readonly<Record<string, string>> = {z0: 'north', z1: 'south'};

/** Renders the sections of the template that repeat their text for each zone. */
const renderZones = (text: string): string => text.replaceAll(/\{\{#zones\}\}(?<body>.*?)\{\{\/zones\}\}/gv, (_, body: string) => Object.entries(zones)
	.map(([zone, region], index, all) => body.replaceAll('{{@}}', zone).replaceAll('{{.}}', region).replaceAll('{{,}}', index < all.length - 1 ? ',' : ''))
	.join(''));

/** Returns the environment that the deploy file gives a role where the platform's figures are as in `figures`. */
const environmentOf = (role: string, figures: Readonly<Record<string, string>>): Record<string, string> => {
	const [, section] = deployment.split(`[roles.${role}.env]\n`);
	const lines = section.split('\n[', 1)[0].matchAll(/^(?<name>\w+) = "(?<value>.*)"$/gmv);
	return Object.fromEntries([...lines].map(({groups}) => [groups!.name, renderZones(groups!.value).replaceAll(/\{\{(?<key>[\w.]+)\}\}/gv, (_, key: string) => addresses[key] ?? figures[key] ?? '')]));
};

const readDeployed = (figures: Readonly<Record<string, string>>) => [
	readSettings('entry', directEntrySettings, [], environmentOf('entry', figures)),
	readSettings('sidecar', directSidecarSettings, [], environmentOf('sidecar', figures)),
];

// These guard against processes that do not start, or stop without a grace period, because a figure of the platform is written in another way.
describe('the environment of the deploy file', () => {
	for (const [name, graceS, windowS] of [['whole numbers', '8', '10'], ['numbers with a decimal point', '8.0', '10.0'], ['fractions', '7.5', '10.5'], ['numbers without a value', '', '']]) {
		it(`takes the platform's figures from ${name}`, () => {
			const figures = {
				'bounds.grace_s': graceS, 'bounds.retry_window_s': windowS, 'bounds.stall_ms': '1500.5', heartbeat_ms: '1200.5', 'bounds.drain_ms': '2000.5', 'bounds.config_ms': '2000.5', 'bounds.retry_ratio': '0.2', 'bounds.retry_slack': '90.5',
			};
			const results = readDeployed(figures);
			for (const result of results) {
				expect(result).to.have.property('kind', 'run');
				expect(result).to.have.nested.property('settings.graceS', Number(graceS || 8));
			}

			expect(results[0]).to.have.nested.property('settings.resendWindowS', Number(windowS || 10));
			expect(results[0]).to.have.nested.property('settings.regions').that.deep.equals(new Map(Object.entries(zones)));
		});
	}

	it('takes short and long times', () => {
		for (const result of [...readDeployed({heartbeat_ms: '50', 'bounds.stall_ms': '90000'}), ...readDeployed({heartbeat_ms: '90000', 'bounds.stall_ms': '0'})]) {
			expect(result).to.have.property('kind', 'run');
		}
	});
});

// Guards against a system that is not built, and so does not start, because its libraries were installed on another kind of machine.
describe('the build of the deploy file', () => {
	const {groups} = /^build = "(?<command>.*)"$/mv.exec(deployment)!;

	/** Runs the build command where libraries for this machine architecture are installed, and returns what it calls `npm` with. */
	const npmCallsFor = async (architecture: string | undefined): Promise<readonly string[]> => {
		const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-build-'));
		await writeFile(path.join(directory, 'npm'), '#!/bin/sh\necho "$@"\n', {mode: 0o755});
		await writeFile(path.join(directory, 'package-lock.json'), '{}');
		if (architecture !== undefined) {
			await mkdir(path.join(directory, `node_modules/@esbuild/${process.platform}-${architecture}`), {recursive: true});
			const later = new Date(Date.now() + 10_000);
			await utimes(path.join(directory, 'node_modules'), later, later);
		}

		const {stdout} = await run('sh', ['-c', groups!.command], {cwd: directory, env: {PATH: `${directory}:${path.dirname(process.execPath)}:/usr/bin:/bin`}});
		await rm(directory, {recursive: true});
		return stdout.trim().split('\n');
	};

	it('installs the libraries only where those of this kind of machine are missing', async () => {
		expect(await npmCallsFor(process.arch)).to.deep.equal(['run --silent build']);
		expect(await npmCallsFor(undefined), 'without libraries').to.deep.equal(['ci --silent', 'run --silent build']);
		expect(await npmCallsFor('other'), 'with those of another kind').to.deep.equal(['ci --silent', 'run --silent build']);
	});
});
