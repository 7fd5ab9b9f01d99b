import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {serveEngine} from './engine.js';
import {serveInstanceList} from './instance-list.js';
import {createKv} from './kv.js';
import {serveKv} from './kv-server.js';
import {servePlainService} from './plain-service.js';

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {
		port: {type: 'string', default: '0'},
		model: {type: 'string', default: 'model'},
		ranks: {type: 'string', default: '4'},
		'step-ms': {type: 'string', default: '5'},
		'max-batch': {type: 'string', default: '64'},
		'work-ms': {type: 'string', default: '2'},
		'ignores-fencing': {type: 'boolean', default: false},
	},
});

const serverFactories: Readonly<Record<string, () => Server>> = {
	kv: () => serveKv(createKv(Date.now)),
	instances: () => serveInstanceList(),
	plain: () => servePlainService({workMs: Number(values['work-ms'])}),
	engine: () => serveEngine({
		model: values.model, ranks: Number(values.ranks), stepMs: Number(values['step-ms']), maxBatch: Number(values['max-batch']),
		checksFencing: !values['ignores-fencing'],
	}),
};

const [kind] = positionals;
if (kind === undefined || !Object.hasOwn(serverFactories, kind)) {
	process.stderr.write(`standins: expected one of ${Object.keys(serverFactories).join(', ')}\n`);
	process.exit(2);
}

const server = serverFactories[kind]();
server.listen(Number(values.port), '127.0.0.1', () => {
	const {port} = server.address() as AddressInfo;
	process.send?.({port, adminPort: port});
});
process.on('SIGTERM', () => {
	process.exit(0);
});
