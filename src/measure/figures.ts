import {Deployment} from '../configuration/index.js';
import {Generation} from '../generation/index.js';
import {Clock} from '../time/index.js';

/** Results of one run. */
export interface Figures {
  /** Requests received, including retries of refused callers. */
  readonly requests: number;
  readonly answered: number;
  readonly inTime: number;
  readonly refused: number;
  readonly failed: number;
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
  readonly recomputedTokens: number;
  /** Share of prompt tokens found in caches. */
  readonly hitShare: number;
  /** Answers per second that met the latency target. */
  readonly goodput: number;
  /** Share of each customer's requests that were answered within the latency target. */
  readonly inTimeByCustomer: ReadonlyMap<string, number>;
  /** Number of answers within the latency target, for each second of the run. */
  readonly timeline: readonly number[];
}

/** Counters of an engine from which figures are computed. */
interface EngineCounts {
  readonly prefillTokens: number;
  readonly cachedTokens: number;
  readonly recomputedTokens: number;
}

/** Request counts of one customer. */
interface CustomerTally {
  asked: number;
  inTime: number;
}

/** Collects the results that callers observe. */
export class FigureCollector {
  private answered = 0;
  private inTime = 0;
  private refused = 0;
  private failed = 0;
  private readonly firstTokens: number[] = [];
  private readonly gaps: number[] = [];
  private readonly customers = new Map<string, CustomerTally>();
  private readonly timeline: number[] = [];

  /** Counts a refusal. */
  addRefusal(customer: string, _nowMs: number): void {
    this.refused++;
    this.getTally(customer).asked++;
  }

  /** Reads a generation to its end, as its caller does, and measures its latencies. */
  async measureGeneration(
    generation: Generation,
    startMs: number,
    deployment: Deployment,
    clock: Clock,
  ): Promise<void> {
    const {customer} = generation.request;
    const tally = this.getTally(customer);
    tally.asked++;
    let firstMs: number | undefined;
    let previousMs = startMs;
    let gapSum = 0;
    let tokens = 0;
    const reading = new AbortController();
    const events = generation.read(0, reading.signal, () =>
      clock.monotonicMs(),
    );
    for await (const event of events) {
      const nowMs = clock.monotonicMs();
      if (event.kind === 'token') {
        tokens++;
        if (firstMs === undefined) {
          firstMs = nowMs - startMs;
        } else {
          gapSum += nowMs - previousMs;
          this.gaps.push(nowMs - previousMs);
        }
        previousMs = nowMs;
      } else if (event.kind === 'finished') {
        this.answered++;
        const {firstTokenMs, betweenTokensMs} = deployment.latencyTarget;
        const meanGap = tokens > 1 ? gapSum / (tokens - 1) : 0;
        if ((firstMs ?? 0) <= firstTokenMs && meanGap <= betweenTokensMs) {
          this.inTime++;
          tally.inTime++;
          const second = Math.floor(nowMs / 1000);
          this.timeline[second] = (this.timeline[second] ?? 0) + 1;
        }
      } else {
        this.failed++;
      }
    }
    this.firstTokens.push(firstMs ?? clock.monotonicMs() - startMs);
  }

  /** Computes the figures of the run. */
  getFigures(durationMs: number, engines: readonly EngineCounts[]): Figures {
    const sum = (pick: (counts: EngineCounts) => number) =>
      engines.reduce((total, counts) => total + pick(counts), 0);
    const cached = sum(counts => counts.cachedTokens);
    const computed = sum(counts => counts.prefillTokens);
    const byCustomer = new Map<string, number>();
    for (const [name, tally] of this.customers) {
      byCustomer.set(name, tally.inTime / Math.max(1, tally.asked));
    }
    return {
      requests: this.refused + this.firstTokens.length,
      answered: this.answered,
      inTime: this.inTime,
      refused: this.refused,
      failed: this.failed,
      firstTokenP95Ms: getPercentile(this.firstTokens, 0.95),
      betweenTokensP95Ms: getPercentile(this.gaps, 0.95),
      recomputedTokens: sum(counts => counts.recomputedTokens),
      hitShare: cached / Math.max(1, cached + computed),
      goodput: (this.inTime * 1000) / durationMs,
      inTimeByCustomer: byCustomer,
      timeline: Array.from(this.timeline, count => count ?? 0),
    };
  }

  private getTally(customer: string): CustomerTally {
    const known = this.customers.get(customer) ?? {asked: 0, inTime: 0};
    this.customers.set(customer, known);
    return known;
  }
}

/** Returns the smallest value that at least the given share of values does not exceed. */
export function getPercentile(
  values: readonly number[],
  share: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * share) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
