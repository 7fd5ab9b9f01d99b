import process from 'node:process';

/** How `papayaflow` ends: what each exit code says. */
export const exitCodes = {
	ok: 0,
	/** The platform can't be reached. */
	unavailable: 1,
	/** The command line or a file is wrong. */
	usage: 2,
	/** The change was refused: another operator was faster, or there is no such thing. */
	refused: 3,
	/** It is not known whether the change was accepted. */
	unknown: 4,
	/** Accepted, but some instances have not confirmed it. */
	lagging: 5,
} as const;

/** Prints a text as it is and anything else as JSON. */
export function print(value: unknown): void {
	process.stdout.write(`${typeof value === 'string' ? value : JSON.stringify(value, undefined, '\t')}\n`);
}

/** Prints a problem on standard error and ends the program. */
export function fail(code: number, message: string): never {
	process.stderr.write(`papayaflow: ${message}\n`);
	return process.exit(code);
}

/**
Prints rows as a table for people or, with `json`, for scripts.

@example
printTable([{name: 'peak', inForce: true}], false, 'revision 7');
*/
export function printTable(
	rows: ReadonlyArray<Readonly<Record<string, unknown>>>,
	json: boolean | undefined,
	title?: string,
	extra: Readonly<Record<string, unknown>> = {},
): void {
	if (json) {
		print({...extra, rows});
		return;
	}

	const names = [...new Set(rows.flatMap(row => Object.keys(row)))];
	const cells = rows.map(row => names.map(name => cell(row[name])));
	const widths = names.map((name, column) => Math.max(name.length, ...cells.map(row => row[column].length)));
	const line = (row: readonly string[]): string => row.map((text, column) => text.padEnd(widths[column])).join('  ').trimEnd();
	print([...(title === undefined ? [] : [title]), line(names), ...cells.map(row => line(row))].join('\n'));
}

function cell(value: unknown): string {
	return typeof value === 'object' && value !== null ? JSON.stringify(value) : `${value as string | number | boolean | undefined ?? ''}`;
}
