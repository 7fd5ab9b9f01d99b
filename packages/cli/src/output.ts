import process from 'node:process';

/** The exit codes of `papayaflow`. */
export const exitCodes = {
	ok: 0,
	/** The platform can't be reached. For `explain`: the entry can't be reached, can't explain or has no configuration yet. */
	unavailable: 1,
	/** The command line or a file is invalid. */
	usage: 2,
	/** The change was refused because another operator's change came first, or because the preset or instance doesn't exist. For `settle`: the change was not accepted. For `explain`: the request would be refused now. */
	refused: 3,
	/** Whether the change was accepted is unknown. */
	unknown: 4,
	/** The change was accepted, but some instances have not confirmed it. */
	lagging: 5,
} as const;

/** Prints a string unchanged and any other value as JSON. */
export function print(value: unknown): void {
	process.stdout.write(`${typeof value === 'string' ? value : JSON.stringify(value, undefined, '\t')}\n`);
}

/** Prints an error message on standard error and exits with `code`. */
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
	const cells = rows.map(row => names.map(name => formatCell(row[name])));
	const widths = names.map((name, column) => Math.max(name.length, ...cells.map(row => row[column].length)));
	const formatLine = (row: readonly string[]): string => row.map((text, column) => text.padEnd(widths[column])).join('  ').trimEnd();
	print([...(title === undefined ? [] : [title]), formatLine(names), ...cells.map(row => formatLine(row))].join('\n'));
}

function formatCell(value: unknown): string {
	return typeof value === 'object' && value !== null ? JSON.stringify(value) : `${value as string | number | boolean | undefined ?? ''}`;
}
