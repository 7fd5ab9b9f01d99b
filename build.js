import {build} from 'esbuild';

const programs = {
	papayaflow: 'packages/cli/src/papayaflow.ts',
	'papayaflow-entry': 'packages/cli/src/papayaflow-entry.ts',
	'papayaflow-sidecar': 'packages/cli/src/papayaflow-sidecar.ts',
	standins: 'packages/standins/src/main.ts',
	demo: 'packages/demo/src/main.ts',
};

await build({
	entryPoints: programs,
	outdir: 'target',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	sourcemap: true,
	logLevel: 'warning',
	banner: {js: 'import {createRequire as bundleRequire} from \'node:module\'; const require = bundleRequire(import.meta.url);'},
});
