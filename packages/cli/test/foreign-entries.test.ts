import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {loadSite, startSite, type Site} from './site.js';

const foreign = {
	service: 'plain', zone: 'z', version: '1', slots: 8, state: 'ready', cold_remaining_ms: 0, seq: 1, born: 2,
};

// Guards against a single entry of another writer that ends every process which reads it, or hides the targets of others.
describe('a site whose store another writer writes to', () => {
	let site: Site;

	before(async () => {
		site = await startSite({entries: 2, ranks: 3, plains: 3});
	});

	after(async () => {
		await site.stop();
	});

	it('serves every call, its processes run on, and later changes arrive', async () => {
		const odd: ReadonlyArray<readonly [string, string]> = [
			['high-port', JSON.stringify({...foreign, address: '127.0.0.1:80000'})],
			['highest-port', JSON.stringify({...foreign, address: '127.0.0.1:99999'})],
			['no-port', JSON.stringify({...foreign, address: '127.0.0.1:0'})],
			['missing-fields', JSON.stringify({service: 'plain', address: '127.0.0.1:80000'})],
			['large', JSON.stringify({...foreign, address: '127.0.0.1:65536', slots: 1e308})],
			['nested', `${'['.repeat(100_000)}${']'.repeat(100_000)}`],
			['infinite', '{"service":"plain","address":"127.0.0.1:80","slots":1e400}'],
			['not-json', '\u0000\uFFFF{'],
		];
		// The addresses of sound targets, registered later by another writer for a service that no configuration names.
		const registered = ['p-0', 'p-1', 'p-2', 'e-0', 'e-1', 'e-2'].map(id => JSON.parse(site.store.get(`servers/${id}`)!) as {address: string});
		const hiding = registered.map(({address}, index): readonly [string, string] => [`hiding-${index}`, JSON.stringify({...foreign, service: 'nobody', address})]);
		for (const [name, value] of [...odd, ...hiding]) {
			site.store.put(`servers/${name}`, value);
		}

		await sleep(500);
		const results = [...await loadSite(site, 'plain', {perSecond: 60, ms: 1500}), ...await loadSite(site, 'model', {perSecond: 30, ms: 1000})];
		expect(results.filter(({status}) => status !== 200)).to.deep.equal([]);
		for (const {name, child} of [...site.entries, ...site.sidecars]) {
			expect(child.exitCode, name).to.equal(null);
		}

		site.putConfiguration(2);
		await sleep(800);
		for (const {name, lines} of site.entries) {
			expect(lines.some(line => line.includes('configuration applied') && line.includes('"version":2')), name).to.equal(true);
		}

		for (const {name, lines} of [...site.entries, ...site.sidecars]) {
			expect(lines.filter(line => line.includes('unforeseen error')), name).to.deep.equal([]);
		}
	}).timeout(30_000);
});
