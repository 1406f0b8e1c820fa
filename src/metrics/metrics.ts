import {BUCKETS_MS, DurationHistogram} from './duration_histogram.js';

/** Label values of a sample, by label name. */
export type Labels = Readonly<Record<string, string>>;

/** A metric whose value is read when the metrics are formatted. */
interface Gauge {
  readonly help: string;
  /** Returns a value for each set of labels. */
  readonly list: () => readonly (readonly [Labels, number])[];
}

/** A metric that only increases; one value per set of labels. */
interface Counter {
  readonly help: string;
  readonly values: Map<string, number>;
}

/** Durations; one histogram per set of labels. */
interface Distribution {
  readonly help: string;
  readonly histograms: Map<string, DurationHistogram>;
}

const MS_PER_SECOND = 1000;
const PREFIX = 'sedgefall_';
const PERCENTILES = [50, 95, 99] as const;

/** Counters, gauges and histograms of one process. */
export class Metrics {
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly distributions = new Map<string, Distribution>();

  /** Declares a counter. */
  addCounter(name: string, help: string): void {
    this.counters.set(name, {help, values: new Map()});
  }

  /** Declares a gauge. */
  addGauge(name: string, help: string, read: () => number): void {
    this.addLabelledGauge(name, help, () => [[{}, read()]]);
  }

  /** Declares a gauge with a value for each set of labels. */
  addLabelledGauge(name: string, help: string, list: Gauge['list']): void {
    this.gauges.set(name, {help, list});
  }

  /** Declares a histogram of durations. */
  addHistogram(name: string, help: string): void {
    this.distributions.set(name, {help, histograms: new Map()});
  }

  /** Increments a counter by one; no effect if it is not declared. */
  increment(name: string, labels: Labels = {}): void {
    const values = this.counters.get(name)?.values;
    const key = formatLabels(labels);
    values?.set(key, (values.get(key) ?? 0) + 1);
  }

  /** Returns the value of a counter; 0 if it was never incremented. */
  getCount(name: string, labels: Labels = {}): number {
    return this.counters.get(name)?.values.get(formatLabels(labels)) ?? 0;
  }

  /**
   * Records a duration.
   * @param name - Name of the histogram.
   * @param ms - Duration in milliseconds.
   * @param labels - Labels of the sample.
   */
  record(name: string, ms: number, labels: Labels = {}): void {
    const histograms = this.distributions.get(name)?.histograms;
    const key = formatLabels(labels);
    const known = histograms?.get(key);
    const histogram = known ?? new DurationHistogram();
    if (known === undefined) {
      histograms?.set(key, histogram);
    }
    histogram.record(ms);
  }

  /** Formats all metrics in the Prometheus text format. */
  format(): string {
    const lines: string[] = [];
    for (const [name, counter] of this.counters) {
      lines.push(...formatMetadata(name, counter.help, 'counter'));
      for (const [labels, value] of counter.values) {
        lines.push(`${PREFIX}${name}${wrapLabels(labels)} ${value}`);
      }
    }
    for (const [name, gauge] of this.gauges) {
      lines.push(...formatMetadata(name, gauge.help, 'gauge'));
      for (const [labels, value] of gauge.list()) {
        const text = wrapLabels(formatLabels(labels));
        lines.push(`${PREFIX}${name}${text} ${value}`);
      }
    }
    for (const [name, distribution] of this.distributions) {
      lines.push(...formatMetadata(name, distribution.help, 'histogram'));
      for (const [labels, histogram] of distribution.histograms) {
        lines.push(...formatHistogram(name, labels, histogram));
      }
      lines.push(...formatPercentiles(name, distribution));
    }
    return lines.join('\n') + '\n';
  }
}

function formatMetadata(name: string, help: string, type: string): string[] {
  return [`# HELP ${PREFIX}${name} ${help}`, `# TYPE ${PREFIX}${name} ${type}`];
}

function formatHistogram(
  name: string,
  labels: string,
  histogram: DurationHistogram,
): string[] {
  const lines: string[] = [];
  const labelPrefix = labels === '' ? '' : `${labels},`;
  const cumulative = histogram.listCumulative();
  for (const [index, boundMs] of BUCKETS_MS.entries()) {
    const bound = boundMs / MS_PER_SECOND;
    const count = cumulative[index] ?? 0;
    lines.push(`${PREFIX}${name}_bucket{${labelPrefix}le="${bound}"} ${count}`);
  }
  const total = histogram.getCount();
  lines.push(
    `${PREFIX}${name}_bucket{${labelPrefix}le="+Inf"} ${total}`,
    `${PREFIX}${name}_sum${wrapLabels(labels)} ${histogram.getSumMs() / MS_PER_SECOND}`,
    `${PREFIX}${name}_count${wrapLabels(labels)} ${total}`,
  );
  return lines;
}

/** Adds percentiles of the HDR histograms, as buckets only give a range for them. */
function formatPercentiles(name: string, distribution: Distribution): string[] {
  const gauge = `${name}_percentile`;
  const lines = formatMetadata(gauge, `Percentiles of ${name}`, 'gauge');
  for (const [labels, histogram] of distribution.histograms) {
    const labelPrefix = labels === '' ? '' : `${labels},`;
    for (const percentile of PERCENTILES) {
      const value = histogram.getPercentileMs(percentile) / MS_PER_SECOND;
      lines.push(
        `${PREFIX}${gauge}{${labelPrefix}percentile="${percentile}"} ${value}`,
      );
    }
  }
  return lines;
}

function formatLabels(labels: Labels): string {
  return Object.entries(labels)
    .map(([key, value]) => `${key}="${value.replaceAll(/["\\\n]/g, '_')}"`)
    .join(',');
}

function wrapLabels(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}
