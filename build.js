import {execFileSync} from 'node:child_process';
import {
	copyFileSync, mkdirSync, readdirSync, readFileSync, rmSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const outputDirectory = 'target';

/** The programs that people start. */
const tools = {
	papayaflow: 'packages/cli/src/papayaflow.ts',
	standins: 'packages/standins/src/main.ts',
	demo: 'packages/demo/src/main.ts',
};

/** The programs of which hundreds start at once after an outage. They are loaded with their compiled code. */
const services = {
	'papayaflow-entry': 'packages/cli/src/papayaflow-entry.ts',
	'papayaflow-sidecar': 'packages/cli/src/papayaflow-sidecar.ts',
};

// Parts of libraries that no program uses and that take long to load: the cookies of undici load Node's own copy of
// undici, and the log writer of the histograms loads number formats.
// esbuild matches the pattern in Go, which knows no flag `v`.
// eslint-disable-next-line require-unicode-regexp
const unusedModules = /node_modules\/(?:undici\/lib\/(?:mock\/|web\/(?:cookies|eventsource|websocket)\/|dispatcher\/client-h2\.js)|pako\/|hdr-histogram-js\/dist\/HistogramLogWriter\.js)/;

const omitUnusedModules = {
	name: 'omit-unused-modules',
	setup({onLoad}) {
		onLoad({filter: unusedModules}, () => ({contents: 'module.exports = {};'}));
	},
};

const options = {
	outdir: outputDirectory,
	bundle: true,
	platform: 'node',
	target: 'node20',
	sourcemap: true,
	logLevel: 'warning',
	plugins: [omitUnusedModules],
};

/** Returns the flags of Node with which the deploy file starts a program. */
function deployFlags(program) {
	const [, flags = ''] = new RegExp(String.raw`"node (.*?) ?${outputDirectory}/${program}\.js\b`, 'v').exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
	return flags.split(' ').filter(Boolean);
}

mkdirSync(outputDirectory, {recursive: true});
for (const name of readdirSync(outputDirectory).filter(name => name.endsWith('.cache'))) {
	rmSync(path.join(outputDirectory, name));
}

await build({
	...options, entryPoints: tools, format: 'esm',
	banner: {js: 'import {createRequire as bundleRequire} from \'node:module\'; const require = bundleRequire(import.meta.url);'},
});
await build({
	...options, entryPoints: services, format: 'cjs', outExtension: {'.js': '.cjs'},
});
copyFileSync('bundling/load.js', path.join(outputDirectory, 'load.js'));
for (const program of Object.keys(services)) {
	copyFileSync('bundling/launcher.js', path.join(outputDirectory, `${program}.js`));
	for (const flags of [[], deployFlags(program)]) {
		execFileSync(process.execPath, [...flags, 'bundling/compile.js', path.join(outputDirectory, `${program}.cjs`)]);
	}
}
