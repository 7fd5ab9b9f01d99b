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
const parallel = 4;
const root = path.join(import.meta.dirname, '..');

/** Copies the packages beside links to the installed libraries, so that a guard can be taken out of the copy. */
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
		await run('npx', ['mocha', '--no-config', '--node-option', 'import=tsx', '--exit', '--timeout', '8000', '-f', test, path.join('packages', spec)], {cwd: directory, maxBuffer: 64_000_000});
		return {isPassed: true, why: ''};
	} catch (error) {
		const why = /(?:AssertionError|Error): (.*)/v.exec(String(error.stdout))?.[1] ?? 'no output';
		return {isPassed: false, hasRun: /\d+ failing/v.test(String(error.stdout)), why: why.slice(0, 120)};
	}
}

/** Takes one guard out, runs the test that rests on it, and puts it back. */
async function checkGuard(directory, guard) {
	const file = path.join(directory, 'packages', guard.file);
	const text = await readFile(file, 'utf8');
	if (!text.includes(guard.find)) {
		return {isGood: false, line: `${guard.name}: the guard is not in ${guard.file}`};
	}

	const sound = await runTest(directory, guard);
	await writeFile(file, text.replace(guard.find, () => guard.replace));
	const broken = await runTest(directory, guard);
	await writeFile(file, text);
	if (!sound.isPassed) {
		return {isGood: false, line: `${guard.name}: the test fails with the guard in place: ${sound.why}`};
	}

	return {isGood: !broken.isPassed && broken.hasRun, line: `${guard.name}: ${broken.isPassed ? 'the test does NOT miss it' : `missed by "${guard.test}": ${broken.why}`}`};
}

const queue = [...guards];
let passed = 0;
let failed = 0;
await Promise.all(Array.from({length: parallel}, async () => {
	const directory = await copyTree();
	for (let guard = queue.shift(); guard; guard = queue.shift()) {
		const {isGood, line} = await checkGuard(directory, guard);
		process.stdout.write(`${isGood ? 'ok    ' : 'FAILED'} ${line}\n`);
		passed += isGood ? 1 : 0;
		failed += isGood ? 0 : 1;
	}

	await rm(directory, {recursive: true});
}));
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
