import {Clock} from '../time/index.js';

/**
 * Age that a host's demand has at most when its peers use it, in milliseconds: reports
 * arrive up to 1 s late and are used until the next one, 0.4 s later.
 */
const MAX_REPORT_AGE_MS = 1500;
/** Interval between kept values, in milliseconds; bounds the memory for a customer. */
const SAMPLE_MS = 100;

/** Demand of a customer at one time. */
interface Sample {
  readonly startMs: number;
  updatedMs: number;
  perSecond: number;
}

/**
 * Remembers this host's demand as its peers know it. Shares computed from demand that
 * the peers do not know yet would add up to more than the rate.
 */
export class ReportedDemand {
  private readonly samples = new Map<string, Sample[]>();

  constructor(private readonly clock: Clock) {}

  /** Records a customer's demand, in units per second, after it has changed. */
  add(customer: string, perSecond: number): void {
    const nowMs = this.clock.monotonicMs();
    const samples = this.samples.get(customer) ?? [];
    this.samples.set(customer, samples);
    const last = samples.at(-1);
    if (last !== undefined && nowMs - last.startMs < SAMPLE_MS) {
      last.updatedMs = nowMs;
      last.perSecond = perSecond;
    } else {
      samples.push({startMs: nowMs, updatedMs: nowMs, perSecond});
    }
    while (this.isKnown(samples[1])) {
      samples.shift();
    }
  }

  /** Returns the demand that all peers know, in units per second. */
  get(customer: string): number {
    const samples = this.samples.get(customer) ?? [];
    return samples.findLast(sample => this.isKnown(sample))?.perSecond ?? 0;
  }

  private isKnown(sample: Sample | undefined): boolean {
    const nowMs = this.clock.monotonicMs();
    return (
      sample !== undefined && nowMs - sample.updatedMs >= MAX_REPORT_AGE_MS
    );
  }
}
