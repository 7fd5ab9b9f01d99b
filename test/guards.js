import {execFile} from 'node:child_process';
import {
	cp, mkdir, mkdtemp, readFile, readdir, rm, symlink, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {guards} from './guard-list.js';

const run = promisify(execFile);
const workerCount = 4;

/** The longest run of a test, in milliseconds: several times what the slowest one takes. A test in an endless loop can't end itself. */
const testTimeoutMs = 120_000;

const root = path.join(import.meta.dirname, '..');

/** Copies the packages into a temporary directory with links to the installed libraries, so that guards can be removed there. */
async function copyTree() {
	const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-guards-'));
	await cp(path.join(root, 'packages'), path.join(directory, 'packages'), {recursive: true});
	await cp(path.join(root, 'platform'), path.join(directory, 'platform'), {recursive: true});
	await cp(path.join(root, 'package.json'), path.join(directory, 'package.json'));
	await cp(path.join(root, 'tsconfig.json'), path.join(directory, 'tsconfig.json'));
	await mkdir(path.join(directory, 'node_modules/@papayaflow'), {recursive: true});
	for (const name of await readdir(path.join(root, 'node_modules'))) {
		if (name !== '@papayaflow') {
			await symlink(path.join(root, 'node_modules', name), path.join(directory, 'node_modules', name));
		}
	}

	for (const name of await readdir(path.join(directory, 'packages'))) {
		await symlink(path.join(directory, 'packages', name), path.join(directory, 'node_modules/@papayaflow', name));
	}

	await symlink(path.join(directory, 'platform'), path.join(directory, 'node_modules/@papayaflow/platform'));
	return directory;
}

async function runTest(directory, {spec, test}) {
	try {
		// Mocha runs in this one process, so that ending it at its time limit leaves nothing behind.
		await run(process.execPath, ['--import', 'tsx', path.join(root, 'node_modules/mocha/lib/cli/cli.js'), '--no-config', '--exit', '--timeout', '8000', '-f', test, path.join('packages', spec)], {
			cwd: directory, maxBuffer: 64_000_000, timeout: testTimeoutMs, killSignal: 'SIGKILL',
		});
		return {isPassed: true, failure: ''};
	} catch (error) {
		if (error.killed) {
			return {isPassed: false, hasRun: false, failure: `the test did not end within ${testTimeoutMs} ms`};
		}

		const failure = /(?:AssertionError|Error): (.*)/v.exec(String(error.stdout))?.[1] ?? 'no output';
		return {isPassed: false, hasRun: /\d+ failing/v.test(String(error.stdout)), failure: failure.slice(0, 120)};
	}
}

/** Runs the test of a guard with the guard in place and with it removed: the test must pass, then fail. */
async function checkGuard(directory, guard) {
	const file = path.join(directory, 'packages', guard.file);
	const text = await readFile(file, 'utf8');
	if (!text.includes(guard.find)) {
		return {isConfirmed: false, line: `${guard.name}: the code of the guard was not found in ${guard.file}`};
	}

	const original = await runTest(directory, guard);
	await writeFile(file, text.replace(guard.find, () => guard.replace));
	const mutated = await runTest(directory, guard);
	await writeFile(file, text);
	if (!original.isPassed) {
		return {isConfirmed: false, line: `${guard.name}: the test fails with the guard in place: ${original.failure}`};
	}

	if (mutated.isPassed) {
		return {isConfirmed: false, line: `${guard.name}: the test passes without the guard`};
	}

	return mutated.hasRun
		? {isConfirmed: true, line: `${guard.name}: detected by "${guard.test}": ${mutated.failure}`}
		: {isConfirmed: false, line: `${guard.name}: without the guard, "${guard.test}" did not run to its end: ${mutated.failure}`};
}

const queue = [...guards];
let passed = 0;
let failed = 0;
await Promise.all(Array.from({length: workerCount}, async () => {
	const directory = await copyTree();
	for (let guard = queue.shift(); guard; guard = queue.shift()) {
		const {isConfirmed, line} = await checkGuard(directory, guard);
		process.stdout.write(`${isConfirmed ? 'ok    ' : 'FAILED'} ${line}\n`);
		passed += isConfirmed ? 1 : 0;
		failed += isConfirmed ? 0 : 1;
	}

	await rm(directory, {recursive: true});
}));
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
