import {parseArgs, type ArgsDef} from 'citty';
import {type z} from 'zod';

/** The definition of one setting of a program, which is given by a flag or an environment variable. */
export type SettingDef = {
	/** Validates the text of the flag or variable and converts it to the value of the setting. */
	readonly schema: z.ZodType;
	readonly description: string;
	/** A description of the allowed values, such as `1 to 65535`. */
	readonly allowed: string;
	readonly unit?: string;
	/** The text that is used when neither the flag nor the variable is given. A setting without a default is required. */
	readonly default?: string;
};

export type SettingDefs = Readonly<Record<string, SettingDef>>;

export type SettingsOf<T extends SettingDefs> = {readonly [K in keyof T]: z.infer<T[K]['schema']>};

/** An invalid setting, with the information that an operator needs to correct it. `value` is `undefined` for a missing setting and an unknown flag. */
export type BadSetting = {readonly flag: string; readonly value: string | undefined; readonly allowed: string};

export type SettingsResult<T extends SettingDefs>
	= | {readonly kind: 'run'; readonly settings: SettingsOf<T>}
		| {readonly kind: 'check'; readonly settings: SettingsOf<T>}
		| {readonly kind: 'help'; readonly text: string}
		| {readonly kind: 'bad'; readonly problems: readonly BadSetting[]};

const environmentPrefix = 'PAPAYAFLOW_';

/**
Reads the settings of a program from its flags and, for an absent flag, from the
environment: `--admin-port` falls back to `PAPAYAFLOW_ADMIN_PORT`. An empty variable
counts as absent.

Returns `help` with the help text if `--help` is given, `bad` with all problems if a
setting is invalid or a flag is unknown, `check` if `--check` is given, else `run`.

@example
const result = readSettings('papayaflow-entry', {port: portSetting('the port to listen on')}, ['--port', '8080'], process.env);
*/
export function readSettings<T extends SettingDefs>(
	program: string,
	defs: T,
	argv: readonly string[],
	env: Readonly<Record<string, string | undefined>>,
): SettingsResult<T> {
	if (argv.includes('--help')) {
		return {kind: 'help', text: helpText(program, defs)};
	}

	const args: ArgsDef = {check: {type: 'boolean'}};
	for (const name of Object.keys(defs)) {
		args[name] = {type: 'string'};
	}

	const parsed = parseArgs([...argv], args) as Record<string, unknown>;
	const problems: BadSetting[] = unknownFlags(argv, defs);
	const settings: Record<string, unknown> = {};
	for (const [name, def] of Object.entries(defs)) {
		const given = parsed[name] === undefined ? nonEmpty(env[environmentName(name)]) : `${parsed[name] as string}`;
		const text = given ?? def.default;
		const checked = def.schema.safeParse(text);
		if (checked.success) {
			settings[name] = checked.data;
		} else {
			problems.push({flag: flagName(name), value: text, allowed: def.allowed});
		}
	}

	if (problems.length > 0) {
		return {kind: 'bad', problems};
	}

	return {kind: parsed.check ? 'check' : 'run', settings: settings as SettingsOf<T>};
}

/** Formats an invalid setting as one line of text for an operator. */
export function formatBadSetting(problem: BadSetting): string {
	const value = problem.value === undefined ? 'is missing' : `has the value "${problem.value}"`;
	return `${problem.flag} ${value}; allowed: ${problem.allowed}`;
}

function helpText(program: string, defs: SettingDefs): string {
	const lines = [`${program}: settings, each a flag or an environment variable`, ''];
	for (const [name, def] of Object.entries(defs)) {
		const unit = def.unit ? `, ${def.unit}` : '';
		const fallback = def.default === undefined ? 'required' : `default "${def.default}"`;
		lines.push(`  ${flagName(name)}  ${environmentName(name)}`, `      ${def.description} (${def.allowed}${unit}; ${fallback})`);
	}

	lines.push('  --check', '      checks the settings and exits', '  --help', '      shows this text', '');
	return lines.join('\n');
}

function unknownFlags(argv: readonly string[], defs: SettingDefs): BadSetting[] {
	const known = new Set([...Object.keys(defs).map(name => flagName(name)), '--check']);
	return argv
		.filter(argument => argument.startsWith('--'))
		.map(argument => argument.split('=', 1)[0])
		.filter(flag => !known.has(flag))
		.map(flag => ({flag, value: undefined, allowed: 'no such flag'}));
}

function nonEmpty(text: string | undefined): string | undefined {
	return text === '' ? undefined : text;
}

function flagName(name: string): string {
	return `--${kebabCase(name)}`;
}

function environmentName(name: string): string {
	return environmentPrefix + kebabCase(name).replaceAll('-', '_').toUpperCase();
}

function kebabCase(name: string): string {
	return name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`);
}
