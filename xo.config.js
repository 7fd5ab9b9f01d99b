// The users' house style takes precedence over XO's rules. It allows common short names (`req`, `res`, `cfg`, `err`),
// `await` in loops, since each connection is handled by one sequential task, and the unchanged names of wire formats.
const shortNames = ['req', 'res', 'cfg', 'err', 'env', 'args', 'def', 'defs', 'params', 'ref', 'src', 'SettingDef', 'SettingDefs', 'i', 'j', 'e'];

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['target/**', 'docs/**']},
	{
		semicolon: true,
		rules: {
			'unicorn/prevent-abbreviations': ['error', {allowList: Object.fromEntries(shortNames.map(name => [name, true]))}],
			'no-await-in-loop': 'off',
			'no-bitwise': 'off',
			'no-unmodified-loop-condition': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/no-misused-promises': 'off',
			'@typescript-eslint/member-ordering': 'off',
		},
	},
	{
		files: ['packages/cli/**', 'packages/demo/**', 'packages/bench/**', 'packages/standins/src/main.ts'],
		rules: {'unicorn/no-process-exit': 'off'},
	},
	{
		files: ['**/test/**', 'test/**'],
		rules: {
			'@typescript-eslint/no-unused-expressions': 'off', 'unicorn/no-await-expression-member': 'off', 'unicorn/explicit-length-check': 'off', 'no-template-curly-in-string': 'off',
		},
	},
];

export default config;
