/** One figure beside what it is held against. */
export type Row = {
	readonly what: string;
	readonly seed: number;
	readonly baseline: number;
	readonly ours: number;
	/** The bound that `ours` has to keep, and the side on which it has to be. */
	readonly bound?: {readonly most: number} | {readonly least: number};
	readonly unit: string;
};

export type Table = {readonly title: string; readonly baseline: string; readonly rows: readonly Row[]};

/** Whether a row keeps its bound; a row without one is for reading alone. */
export function isHeld({ours, bound}: Row): boolean {
	if (!bound) {
		return true;
	}

	return 'most' in bound ? ours <= bound.most : ours >= bound.least;
}

/**
Renders a table: what, seed, baseline, ours, ratio, bound, held or not.

@example
console.log(renderTable(table));
*/
export function renderTable({title, baseline, rows}: Table): string {
	const head = ['what', 'seed', baseline, 'ours', 'ratio', 'bound', 'held', 'unit'];
	const lines = rows.map(row => [
		row.what,
		String(row.seed),
		show(row.baseline),
		show(row.ours),
		Number.isFinite(row.baseline) && row.baseline !== 0 ? (row.ours / row.baseline).toFixed(3) : '',
		boundText(row),
		row.bound ? (isHeld(row) ? 'held' : 'NOT HELD') : '',
		row.unit,
	]);
	const widths = head.map((name, column) => Math.max(name.length, ...lines.map(line => line[column].length)));
	const render = (line: readonly string[]): string => line.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd();
	return [`## ${title}`, render(head), ...lines.map(line => render(line)), ''].join('\n');
}

function boundText({bound}: Row): string {
	if (!bound) {
		return '';
	}

	return 'most' in bound ? `<= ${show(bound.most)}` : `>= ${show(bound.least)}`;
}

function show(value: number): string {
	if (!Number.isFinite(value)) {
		return '';
	}

	return Math.abs(value) >= 100 ? value.toFixed(0) : (Math.abs(value) >= 10 ? value.toFixed(1) : value.toFixed(3));
}
