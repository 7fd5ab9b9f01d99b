import {execFile} from 'node:child_process';
import {
	copyFile, mkdtemp, readFile, readdir, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';

const run = promisify(execFile);
const parallel = 4;
const depth = 1_000_000;

/** Builds a specification's checker, without one of its guards where a mutant is named, and runs it to the end. */
async function check(spec, flags) {
	const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-spec-'));
	try {
		await copyFile(path.join(import.meta.dirname, spec), path.join(directory, 'model.pml'));
		await run('spin', ['-a', ...flags.map(flag => `-D${flag}`), 'model.pml'], {cwd: directory});
		await run('gcc', ['-O2', '-w', '-DSAFETY', '-DCOLLAPSE', '-o', 'pan', 'pan.c'], {cwd: directory});
		const {stdout} = await run('./pan', [`-m${depth}`, '-E'], {cwd: directory, maxBuffer: 16_000_000});
		return {
			errors: Number(/errors: (\d+)/v.exec(stdout)?.[1] ?? Number.NaN),
			states: Number(/(\d+) states, stored/v.exec(stdout)?.[1] ?? Number.NaN),
			isComplete: !/not completed|max search depth too small/v.test(stdout),
			violation: /pan:\d+: (.+?) \(at depth/v.exec(stdout)?.[1] ?? '',
		};
	} finally {
		await rm(directory, {recursive: true});
	}
}

async function mutantsOf(spec) {
	const text = await readFile(path.join(import.meta.dirname, spec), 'utf8');
	return [...new Set([...text.matchAll(/#ifn?def (NO_\w+)/gv)].map(match => match[1]))];
}

/** Reads the sizes that a specification says it is checked for. */
async function configurationsOf(spec) {
	const text = await readFile(path.join(import.meta.dirname, spec), 'utf8');
	const line = /^Checked for (.*)\.$/mv.exec(text)?.[1];
	return line === undefined ? [[]] : line.split(' and for ').map(flags => flags.split(' '));
}

async function inParallel(tasks) {
	const queue = [...tasks];
	let failed = 0;
	let passed = 0;
	const work = async () => {
		for (let task = queue.shift(); task; task = queue.shift()) {
			const {line, isGood} = await task();
			process.stdout.write(`${isGood ? 'ok    ' : 'FAILED'} ${line}\n`);
			passed += isGood ? 1 : 0;
			failed += isGood ? 0 : 1;
		}
	};

	await Promise.all(Array.from({length: parallel}, () => work()));
	return {passed, failed};
}

const files = await readdir(import.meta.dirname);
const specs = files.filter(file => file.endsWith('.pml')).toSorted();
const tasks = [];
for (const spec of specs) {
	for (const flags of await configurationsOf(spec)) {
		tasks.push(async () => {
			const result = await check(spec, flags);
			const isGood = result.errors === 0 && result.isComplete;
			const search = result.isComplete ? 'search complete' : 'search NOT complete';
			return {isGood, line: `${[spec, ...flags].join(' ')}: ${result.states} states, ${search}, ${result.errors} errors ${result.violation}`};
		});
	}

	for (const mutant of await mutantsOf(spec)) {
		tasks.push(async () => {
			const result = await check(spec, [mutant]);
			return {isGood: result.errors > 0, line: `${spec} -D${mutant}: ${result.errors > 0 ? `rejected, ${result.violation}` : 'NOT rejected'}`};
		});
	}
}

const {passed, failed} = await inParallel(tasks);
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
