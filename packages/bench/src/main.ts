import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {drawCurve} from './plot.js';
import {isHeld, renderTable, type Table} from './table.js';
import {
	claimsTable, limitsTable, paperTable, rebalanceTables, retriesTable, routingTables, weightCurve,
} from './tables.js';

const knownRedFile = 'KNOWN-RED.txt';

/** The rows that are listed as known not to hold, by table and name. */
async function knownRed(): Promise<string> {
	try {
		return await readFile(knownRedFile, 'utf8');
	} catch {
		return '';
	}
}

const tables: Table[] = [...rebalanceTables(), ...routingTables(), await limitsTable(), await claimsTable(), retriesTable(), paperTable()];
for (const table of tables) {
	process.stdout.write(`${renderTable(table)}\n`);
}

const curve = weightCurve();
for (const point of curve) {
	process.stdout.write(`weights ${point.name}, cost over skew ${point.costWeight}: load skew p95 ${point.skewP95.toFixed(3)}, ${point.gigabytes.toFixed(0)} GB moved\n`);
}

if (process.argv.includes('--plots')) {
	await writeFile('docs/skew-against-cost.svg', await drawCurve(curve));
}

const red = await knownRed();
const missed = tables.flatMap(table => table.rows.filter(row => !isHeld(row)).map(row => `${table.title}: ${row.what}`));
const fresh = missed.filter(name => !red.includes(name));
for (const name of missed) {
	process.stdout.write(`${fresh.includes(name) ? 'NOT HELD' : 'known not to hold'}: ${name}\n`);
}

const bounded = tables.flatMap(table => table.rows).filter(row => row.bound).length;
process.stdout.write(`${bounded - missed.length} passed, ${fresh.length} failed, ${missed.length - fresh.length} skipped\n`);
process.exitCode = fresh.length === 0 ? 0 : 1;
