import {connectPlatformStore} from '@papayaflow/platform';
import {createPlatformStore, listenOn, type PlatformStore} from '@papayaflow/standins';
import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {createDemandStore, type DemandStore} from '../src/demand-store.js';

describe('the demand records in the store', () => {
	let standin: PlatformStore;
	let port: number;

	beforeEach(async () => {
		standin = createPlatformStore(Date.now);
		port = await listenOn(standin.server);
	});

	afterEach(() => {
		standin.server.closeAllConnections();
		standin.server.close();
	});

	const connect = (service: string | undefined = 'notice'): DemandStore => createDemandStore(connectPlatformStore({address: `127.0.0.1:${port}`, timeoutMs: 200}), () => service);

	it('are read by the next coordinator, one for each group', async () => {
		const [first, next] = [connect(), connect()];
		expect(await first.read('g0')).to.equal(undefined);
		await first.write('g0', new Uint8Array([1, 2]));
		await first.write('g0', new Uint8Array([3, 4]));
		expect(standin.get('demand/notice/g0')).to.equal('\u0003\u0004');
		expect([...(await next.read('g0'))!]).to.deep.equal([3, 4]);
		expect(await next.read('g1')).to.equal(undefined);
	});

	// Guards against a record of a superseded coordinator that replaces the one of its successor.
	it('are not overwritten after another coordinator has written, until they have been read again', async () => {
		const [first, next] = [connect(), connect()];
		await first.write('g0', new Uint8Array([1]));
		await next.write('g0', new Uint8Array([2]));
		await first.write('g0', new Uint8Array([3]));
		expect([...(await next.read('g0'))!]).to.deep.equal([2]);
	});

	it('are unknown while the store can not be reached, and written once it can', async () => {
		const first = connect();
		standin.faults.mode = 'busy';
		expect(await first.read('g0')).to.equal(undefined);
		await first.write('g0', new Uint8Array([1]));
		standin.faults.mode = 'serve';
		await first.write('g0', new Uint8Array([2]));
		expect([...(await connect().read('g0'))!]).to.deep.equal([2]);
	});
});
