import {expect} from 'chai';
import {describe, it} from 'mocha';
import {
	formatBadSetting, ipSetting, nameSetting, portSetting, readSettings, tableSetting, urlSetting,
} from '@papayaflow/settings';

const defs = {
	instance: nameSetting('the name of this instance'), adminPort: portSetting('the admin port', '9100'),
	address: ipSetting('the address to listen on', '127.0.0.1'), store: urlSetting('the store', 'http://127.0.0.1:2379'),
};

const read = (argv: readonly string[], env: Record<string, string> = {}) => readSettings('program', defs, argv, env);

describe('readSettings', () => {
	it('prefers a flag to the environment and the environment to the default', () => {
		const result = read(['--instance', 'entry-1'], {PAPAYAFLOW_INSTANCE: 'other', PAPAYAFLOW_ADMIN_PORT: '9200'});
		expect(result).to.deep.equal({
			kind: 'run', settings: {
				instance: 'entry-1', adminPort: 9200, address: '127.0.0.1', store: 'http://127.0.0.1:2379',
			},
		});
	});

	// Guards against a process that does not start, or has a time limit of 0, because the platform has no value for a setting.
	it('takes the default for an empty variable', () => {
		const result = read(['--instance', 'a'], {PAPAYAFLOW_ADMIN_PORT: '', PAPAYAFLOW_ADDRESS: ''});
		expect(result).to.have.nested.property('settings.adminPort', 9100);
		expect(result).to.have.nested.property('settings.address', '127.0.0.1');
	});

	it('reports each invalid setting with its value and the allowed values', () => {
		const result = read(['--instance', 'a b', '--admin-port', '70000', '--address', 'localhost', '--store', 'http://kv:2379']);
		expect(result.kind === 'bad' && result.problems.map(problem => formatBadSetting(problem))).to.deep.equal([
			'--instance has the value "a b"; allowed: 1 to 64 letters, digits, ".", "_" or "-"',
			'--admin-port has the value "70000"; allowed: 0 to 65535',
			'--address has the value "localhost"; allowed: an IPv4 or IPv6 number',
			'--store has the value "http://kv:2379"; allowed: http://IP:PORT',
		]);
	});

	it('reads a table, empty if the variable is, and reports one that has another form', () => {
		const readTable = (text: string) => readSettings('program', {regions: tableSetting('regions')}, [], {PAPAYAFLOW_REGIONS: text});
		const rowsOf = (text: string): unknown => {
			const result = readTable(text);
			return result.kind === 'run' ? [...result.settings.regions] : result.kind;
		};

		expect(rowsOf('')).to.deep.equal([]);
		expect(rowsOf('north-1=west, north-2=west,south=east')).to.deep.equal([['north-1', 'west'], ['north-2', 'west'], ['south', 'east']]);
		expect(['north', 'a=b=c', '=west', 'a:b'].map(text => rowsOf(text))).to.deep.equal(['bad', 'bad', 'bad', 'bad']);
	});

	it('reports unknown flags and missing required settings', () => {
		const result = read(['--prot', '1']);
		expect(result.kind === 'bad' && result.problems.map(({flag}) => flag)).to.deep.equal(['--prot', '--instance']);
	});

	it('returns check for --check, and for --help a text with flags, variables and defaults', () => {
		expect(read(['--instance', 'a', '--check']).kind).to.equal('check');
		const help = read(['--help']);
		expect(help.kind === 'help' && help.text).to.contain('--admin-port  PAPAYAFLOW_ADMIN_PORT').and.to.contain('default "9100"').and.to.contain('required');
	});
});
