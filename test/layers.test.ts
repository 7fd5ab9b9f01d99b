import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {expect} from 'chai';
import {describe, it} from 'mocha';

const root = path.join(import.meta.dirname, '..');

describe('package dependencies', () => {
	it('contain no cycle', async () => {
		const names = await readdir(path.join(root, 'packages'));
		const dependencies = new Map<string, readonly string[]>();
		for (const name of names) {
			const {dependencies: declared = {}} = JSON.parse(await readFile(path.join(root, 'packages', name, 'package.json'), 'utf8')) as {dependencies?: Record<string, string>};
			dependencies.set(name, Object.keys(declared).filter(other => other.startsWith('@papayaflow/')).map(other => other.slice('@papayaflow/'.length)));
		}

		const reaches = (from: string, to: string, seen = new Set<string>()): boolean => (dependencies.get(from) ?? []).some(next => {
			const isNew = !seen.has(next);
			seen.add(next);
			return next === to || (isNew && reaches(next, to, seen));
		});
		expect(names.filter(name => reaches(name, name))).to.deep.equal([]);
	});
});
