import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {collectGarbageDuring, createKv, serveKv} from '@papayaflow/standins';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {connectStore} from '@papayaflow/store';

describe('connectStore', () => {
	it('ends a wait for changes at its time limit although garbage is collected during the wait', async () => {
		const server = serveKv(createKv(Date.now)).listen(0, '127.0.0.1');
		await once(server, 'listening');
		const store = connectStore({url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, timeoutMs: 200});
		const result = await collectGarbageDuring(async () => store.changes('instances/', 1, 50, new AbortController().signal));
		expect(result).to.deep.equal({kind: 'changes', changes: [], revision: 1});
		server.closeAllConnections();
		server.close();
	}).timeout(5000);
});
