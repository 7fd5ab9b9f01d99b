import {Registry, Counter, Gauge} from 'prom-client';
import {build, type Histogram} from 'hdr-histogram-js';

/** The longest latency that is distinguished, one hour; longer ones are recorded as this value. */
const maxLatencyUs = 3_600_000_000;
const quantiles = [0.5, 0.95, 0.99] as const;

type Labels = Readonly<Record<string, string>>;

/** The counters, gauges and latency histograms of one process. */
export type Metrics = {
	/** Adds `by` (1 by default) to a counter, which is created at zero if needed. */
	count(name: string, labels?: Labels, by?: number): void;
	/** Declares a counter with all values of its label, so that each is exported as 0 before the first event. */
	declare(name: string, label: string, values: readonly string[]): void;
	gauge(name: string, value: number, labels?: Labels): void;
	/** Records a latency in milliseconds. */
	latency(name: string, ms: number): void;
	/** Returns a quantile (0 to 1) of a latency in milliseconds; 0 if none was recorded. */
	quantileMs(name: string, quantile: number): number;
	/** Returns the current value of a counter; 0 if it was never counted. */
	read(name: string, labels?: Labels): number;
	/** Renders all metrics in the Prometheus text format. */
	text(): Promise<string>;
};

/**
Creates an empty set of metrics. Names get the prefix `papayaflow_`, counters the
suffix `_total`. Latencies get the suffix `_ms` and are exported as summaries.

@example
const metrics = createMetrics();
metrics.count('refusals', {reason: 'queueFull'});
metrics.latency('first_byte', 12.5);
*/
export function createMetrics(): Metrics {
	const registry = new Registry();
	const counters = new Map<string, Counter>();
	const gauges = new Map<string, Gauge>();
	const histograms = new Map<string, Histogram>();
	const counterValues = new Map<string, number>();

	const counterFor = (name: string, labels: Labels): Counter => {
		const existing = counters.get(name);
		if (existing) {
			return existing;
		}

		const counter = new Counter({
			name: `papayaflow_${name}_total`, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [registry],
		});
		counters.set(name, counter);
		return counter;
	};

	const gaugeFor = (name: string, labels: Labels): Gauge => {
		const existing = gauges.get(name);
		if (existing) {
			return existing;
		}

		const gauge = new Gauge({
			name: `papayaflow_${name}`, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [registry],
		});
		gauges.set(name, gauge);
		return gauge;
	};

	const count = (name: string, labels: Labels = {}, by = 1): void => {
		const id = seriesId(name, labels);
		counterValues.set(id, (counterValues.get(id) ?? 0) + by);
		counterFor(name, labels).inc(labels, by);
	};

	const quantileMs = (name: string, quantile: number): number => (histograms.get(name)?.getValueAtPercentile(quantile * 100) ?? 0) / 1000;

	return {
		count,
		declare(name, label, labelValues) {
			for (const value of labelValues) {
				count(name, {[label]: value}, 0);
			}
		},
		gauge(name, value, labels = {}) {
			gaugeFor(name, labels).set(labels, value);
		},
		latency(name, ms) {
			let histogram = histograms.get(name);
			if (!histogram) {
				histogram = build({highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 2});
				histograms.set(name, histogram);
			}

			histogram.recordValue(Math.min(maxLatencyUs, Math.max(1, Math.round(ms * 1000))));
		},
		quantileMs,
		read: (name, labels = {}) => counterValues.get(seriesId(name, labels)) ?? 0,
		async text() {
			const lines = [await registry.metrics()];
			for (const [name, histogram] of histograms) {
				lines.push(`# TYPE papayaflow_${name}_ms summary`);
				for (const quantile of quantiles) {
					lines.push(`papayaflow_${name}_ms{quantile="${quantile}"} ${quantileMs(name, quantile)}`);
				}

				lines.push(`papayaflow_${name}_ms_count ${histogram.totalCount}`);
			}

			return `${lines.join('\n')}\n`;
		},
	};
}

function seriesId(name: string, labels: Labels): string {
	return `${name}|${Object.entries(labels).flat().join('|')}`;
}
