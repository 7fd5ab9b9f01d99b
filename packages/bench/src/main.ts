import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {drawCurve} from './plot.js';
import {meetsBound, renderTable, type Table} from './table.js';
import {
	claimsTable, limitsTable, stepBudgetTable, rebalanceTables, retriesTable, routingTables, weightCurve,
} from './tables.js';

const knownRedFile = 'KNOWN-RED.txt';

/** Reads the list of known failures; a row is on it if the text contains `<table title>: <row name>`. */
async function readKnownFailures(): Promise<string> {
	try {
		return await readFile(knownRedFile, 'utf8');
	} catch {
		return '';
	}
}

const tables: Table[] = [...rebalanceTables(), ...routingTables(), await limitsTable(), await claimsTable(), retriesTable(), stepBudgetTable()];
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

const knownFailures = await readKnownFailures();
const failures = tables.flatMap(table => table.rows.filter(row => !meetsBound(row)).map(row => `${table.title}: ${row.what}`));
const newFailures = failures.filter(name => !knownFailures.includes(name));
for (const name of failures) {
	process.stdout.write(`${newFailures.includes(name) ? 'NOT HELD' : 'known not to hold'}: ${name}\n`);
}

const boundedCount = tables.flatMap(table => table.rows).filter(row => row.bound).length;
process.stdout.write(`${boundedCount - failures.length} passed, ${newFailures.length} failed, ${failures.length - newFailures.length} skipped\n`);
process.exitCode = newFailures.length === 0 ? 0 : 1;
