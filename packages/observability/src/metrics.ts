import {build, type Histogram} from 'hdr-histogram-js';
import {StatsD} from 'hot-shots';

/** Histograms recorded for each member and request class, in milliseconds unless the name gives another unit. */
export type HistogramName =
	/** Time from the arrival of a request to its first connection to an upstream. */
	| 'wait'
	| 'time_to_first_token'
	| 'total_time'
	/** Number of weight versions between a sample and its trainer at delivery. */
	| 'staleness_versions'
	/** Time from a trainer's fetch to the group that answers it. */
	| 'trainer_idle';

export type Labels = Readonly<{member: string; requestClass: string}>;

export type HistogramSummary = Readonly<{
	name: HistogramName;
	member: string;
	requestClass: string;
	count: number;
	p50: number;
	p99: number;
	max: number;
}>;

/** Destination of metrics. */
export abstract class MetricsSink {
	abstract histogram(name: HistogramName, value: number, labels: Labels): void;
	abstract increment(name: string, labels: Readonly<Record<string, string>>): void;
	abstract close(): void;
}

/** Discards all metrics. Used if no metrics server is configured. */
export class NoopMetricsSink extends MetricsSink {
	override histogram(): void {
		// Nothing is sent.
	}

	override increment(): void {
		// Nothing is sent.
	}

	override close(): void {
		// Nothing is open.
	}
}

export type StatsdOptions = Readonly<{host: string; port: number; daemon: string; dataCentre: string}>;

/** Sends metrics to a StatsD server. */
export class StatsdSink extends MetricsSink {
	private readonly client: StatsD;

	constructor(options: StatsdOptions) {
		super();
		this.client = new StatsD({
			host: options.host,
			port: options.port,
			prefix: 'cicadapost.',
			globalTags: {daemon: options.daemon, data_centre: options.dataCentre},
			errorHandler() {
				// An unavailable metrics server must not affect requests.
			},
		});
	}

	override histogram(name: HistogramName, value: number, labels: Labels): void {
		this.client.histogram(name, value, {member: labels.member, class: labels.requestClass});
	}

	override increment(name: string, labels: Readonly<Record<string, string>>): void {
		this.client.increment(name, 1, labels);
	}

	override close(): void {
		this.client.close();
	}
}

/** Maximum number of combinations of member and class. Further members are recorded as `other` to limit memory use. */
export const maxLabelSets = 200;

const highestTrackableValue = 3_600_000;

/** Records histograms per member and request class for `status`, and forwards each value to a sink. */
export class Metrics {
	private readonly histograms = new Map<string, {name: HistogramName; labels: Labels; histogram: Histogram}>();
	private readonly labelSets = new Set<string>();

	constructor(private readonly sink: MetricsSink) {}

	record(name: HistogramName, value: number, labels: Labels): void {
		const limitedLabels = this.limitLabels(labels);
		const key = `${name}\n${limitedLabels.member}\n${limitedLabels.requestClass}`;
		let entry = this.histograms.get(key);
		if (entry === undefined) {
			entry = {name, labels: limitedLabels, histogram: build({highestTrackableValue, numberOfSignificantValueDigits: 2})};
			this.histograms.set(key, entry);
		}

		entry.histogram.recordValue(Math.min(highestTrackableValue, Math.max(0, Math.round(value))));
		this.sink.histogram(name, value, limitedLabels);
	}

	count(name: string, labels: Readonly<Record<string, string>>): void {
		this.sink.increment(name, labels);
	}

	summaries(): HistogramSummary[] {
		return [...this.histograms.values()].map(({name, labels, histogram}) => ({
			name,
			...labels,
			count: histogram.totalCount,
			p50: histogram.getValueAtPercentile(50),
			p99: histogram.getValueAtPercentile(99),
			max: histogram.maxValue,
		}));
	}

	close(): void {
		this.sink.close();
	}

	private limitLabels(labels: Labels): Labels {
		const key = `${labels.member}\n${labels.requestClass}`;
		if (!this.labelSets.has(key) && this.labelSets.size >= maxLabelSets) {
			return {member: 'other', requestClass: labels.requestClass};
		}

		this.labelSets.add(key);
		return labels;
	}
}
