/** One figure with the figure of the baseline. */
export type Row = {
	readonly what: string;
	readonly seed: number;
	readonly baseline: number;
	readonly ours: number;
	/** The upper or lower bound that `ours` must meet. */
	readonly bound?: {readonly most: number} | {readonly least: number};
	readonly unit: string;
};

export type Table = {readonly title: string; readonly baseline: string; readonly rows: readonly Row[]};

/** Returns whether a row meets its bound; a row without a bound always does. */
export function meetsBound({ours, bound}: Row): boolean {
	if (!bound) {
		return true;
	}

	return 'most' in bound ? ours <= bound.most : ours >= bound.least;
}

/**
Renders a table as text, with one line for each row.

@example
console.log(renderTable(table));
*/
export function renderTable({title, baseline, rows}: Table): string {
	const head = ['what', 'seed', baseline, 'ours', 'ratio', 'bound', 'held', 'unit'];
	const lines = rows.map(row => [
		row.what,
		String(row.seed),
		formatNumber(row.baseline),
		formatNumber(row.ours),
		Number.isFinite(row.baseline) && row.baseline !== 0 ? (row.ours / row.baseline).toFixed(3) : '',
		formatBound(row),
		row.bound ? (meetsBound(row) ? 'held' : 'NOT HELD') : '',
		row.unit,
	]);
	const widths = head.map((name, column) => Math.max(name.length, ...lines.map(line => line[column].length)));
	const render = (line: readonly string[]): string => line.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd();
	return [`## ${title}`, render(head), ...lines.map(line => render(line)), ''].join('\n');
}

function formatBound({bound}: Row): string {
	if (!bound) {
		return '';
	}

	return 'most' in bound ? `<= ${formatNumber(bound.most)}` : `>= ${formatNumber(bound.least)}`;
}

function formatNumber(value: number): string {
	if (!Number.isFinite(value)) {
		return '';
	}

	return Math.abs(value) >= 100 ? value.toFixed(0) : (Math.abs(value) >= 10 ? value.toFixed(1) : value.toFixed(3));
}
