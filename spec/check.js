import {execFile} from 'node:child_process';
import {
	copyFile, mkdtemp, readFile, readdir, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';

const run = promisify(execFile);
const workerCount = 4;
const maxSearchDepth = 1_000_000;

/**
Compiles the verifier of a specification with the given macros (a `NO_...` macro removes
a guard) and runs the exhaustive search.
*/
async function runVerifier(spec, macros) {
	const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-spec-'));
	try {
		await copyFile(path.join(import.meta.dirname, spec), path.join(directory, 'model.pml'));
		await run('spin', ['-a', ...macros.map(macro => `-D${macro}`), 'model.pml'], {cwd: directory});
		await run('gcc', ['-O2', '-w', '-DSAFETY', '-DCOLLAPSE', '-o', 'pan', 'pan.c'], {cwd: directory});
		const {stdout} = await run('./pan', [`-m${maxSearchDepth}`, '-E'], {cwd: directory, maxBuffer: 16_000_000});
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

/** Returns the `NO_...` macros of a specification, each of which removes one guard. */
async function mutantsOf(spec) {
	const text = await readFile(path.join(import.meta.dirname, spec), 'utf8');
	return [...new Set([...text.matchAll(/#ifn?def (NO_\w+)/gv)].map(match => match[1]))];
}

/** Returns the macro lists of the line "Checked for ... and for ...", or one empty list if a specification has no such line. */
async function configurationsOf(spec) {
	const text = await readFile(path.join(import.meta.dirname, spec), 'utf8');
	const line = /^Checked for (.*)\.$/mv.exec(text)?.[1];
	return line === undefined ? [[]] : line.split(' and for ').map(macros => macros.split(' '));
}

async function runTasks(tasks) {
	const queue = [...tasks];
	let failed = 0;
	let passed = 0;
	const runWorker = async () => {
		for (let task = queue.shift(); task; task = queue.shift()) {
			const {line, isPassed} = await task();
			process.stdout.write(`${isPassed ? 'ok    ' : 'FAILED'} ${line}\n`);
			passed += isPassed ? 1 : 0;
			failed += isPassed ? 0 : 1;
		}
	};

	await Promise.all(Array.from({length: workerCount}, () => runWorker()));
	return {passed, failed};
}

const files = await readdir(import.meta.dirname);
const specs = files.filter(file => file.endsWith('.pml')).toSorted();
const tasks = [];
for (const spec of specs) {
	for (const macros of await configurationsOf(spec)) {
		tasks.push(async () => {
			const result = await runVerifier(spec, macros);
			const isPassed = result.errors === 0 && result.isComplete;
			const search = result.isComplete ? 'search complete' : 'search NOT complete';
			return {isPassed, line: `${[spec, ...macros].join(' ')}: ${result.states} states, ${search}, ${result.errors} errors ${result.violation}`};
		});
	}

	for (const mutant of await mutantsOf(spec)) {
		tasks.push(async () => {
			const result = await runVerifier(spec, [mutant]);
			return {isPassed: result.errors > 0, line: `${spec} -D${mutant}: ${result.errors > 0 ? `rejected, ${result.violation}` : 'NOT rejected'}`};
		});
	}
}

const {passed, failed} = await runTasks(tasks);
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
