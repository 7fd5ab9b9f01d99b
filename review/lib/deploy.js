import {readFileSync} from 'node:fs';
import path from 'node:path';

/** The root of the repository. */
export const root = path.join(import.meta.dirname, '../..');

/**
Reads the command and the environment of a role from the deploy file and fills in the
placeholders from the settings of a machine.
*/
export function programOf(role, settings) {
	const sections = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').split(/^\[/mv);
	const sectionOf = name => sections.find(section => section.startsWith(`${name}]`));
	const stringsOf = section => new Map([...section.matchAll(/^(\w+) = "(.*)"$/gmv)].map(([, name, value]) => [name, value]));
	const valueOf = name => {
		let value = settings;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return value ?? '';
	};

	const fill = text => text.replaceAll(/\{\{([\w.]+)\}\}/gv, (_, name) => String(valueOf(name)));
	const [command, ...args] = stringsOf(sectionOf(`roles.${role}`)).get('run').split(' ').map(word => fill(word));
	return {command, args, env: Object.fromEntries([...stringsOf(sectionOf(`roles.${role}.env`))].map(([name, value]) => [name, fill(value)]))};
}
