import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';

/**
Draws load skew against bytes moved as SVG. Points named `weights` form the curve;
each other point is drawn by itself and named in the legend.

@example
const svg = await drawCurve(points);
*/
export async function drawCurve(points: ReadonlyArray<{readonly skewP95: number; readonly gigabytes: number; readonly name: string}>): Promise<string> {
	const spec: TopLevelSpec = {
		$schema: 'https://vega.github.io/schema/vega-lite/v5.json',
		width: 480,
		height: 300,
		background: 'white',
		data: {values: [...points]},
		encoding: {
			x: {
				field: 'gigabytes', type: 'quantitative', title: 'weights moved in 1,800 s (GB)', scale: {type: 'log'},
			},
			y: {
				field: 'skewP95', type: 'quantitative', title: 'load skew p95 (max over mean)', scale: {zero: false},
			},
		},
		layer: [
			{transform: [{filter: 'datum.name === "weights"'}], mark: {type: 'line', point: true}},
			{transform: [{filter: 'datum.name !== "weights"'}], mark: {type: 'point', size: 90, filled: true}, encoding: {color: {field: 'name', type: 'nominal', title: 'setting'}}},
		],
	};
	return new View(parse(compile(spec).spec), {renderer: 'none'}).toSVG();
}
