import {readFile, readdir} from 'node:fs/promises';
import path from 'node:path';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import * as z from 'zod';
import {checkPreset, presetSchema} from '@papayaflow/config';

const root = path.join(import.meta.dirname, '../../..');

type Node = {readonly properties?: Readonly<Record<string, Node>>; readonly items?: Node; readonly additionalProperties?: Node | boolean; readonly type?: string};

/** Lists the paths of the fields that hold a value, not an object. */
function fieldsOf(node: Node, at: readonly string[] = []): readonly string[] {
	const inner = typeof node.additionalProperties === 'object' ? fieldsOf(node.additionalProperties, [...at, '*']) : [];
	const listed = node.items?.type === 'object' ? fieldsOf(node.items, [...at, '[]']) : [];
	const named = Object.entries(node.properties ?? {}).flatMap(([name, child]) => fieldsOf(child, [...at, name]));
	const all = [...inner, ...listed, ...named];
	return all.length === 0 ? [at.join('.')] : all;
}

describe('the documentation', () => {
	it('lists every field of a preset', async () => {
		const page = await readFile(path.join(root, 'docs/PRESET.md'), 'utf8');
		const fields = fieldsOf(z.toJSONSchema(presetSchema, {io: 'input', unrepresentable: 'any'}) as Node);
		expect(fields.filter(field => !page.includes(`| \`${field}\` |`))).to.deep.equal([]);
	});

	it('comes with example presets that are valid', async () => {
		const files = await readdir(path.join(root, 'presets'));
		expect(files.toSorted()).to.deep.equal(['maintenance.json', 'ordinary.json', 'peak.json']);
		for (const file of files) {
			const checked = checkPreset(JSON.parse(await readFile(path.join(root, 'presets', file), 'utf8')));
			expect(checked.kind, file).to.equal('valid');
		}
	});
});
