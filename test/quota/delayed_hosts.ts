import {Account} from '../../src/catalog/index.js';
import {Quota, QuotaBound} from '../../src/quota/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';

const STEP_MS = 20;
const REPORT_MS = 400;
const CUSTOMER = 'guild';

/** What one host has told another. */
interface Report {
  readonly dueMs: number;
  readonly from: number;
  readonly demand: number;
  readonly units: number;
}

/** Hosts that receive each other's reports 0.4 to 1 s late. */
export class DelayedHosts {
  readonly clock = new VirtualClock();
  readonly admitted: {atMs: number; units: number}[] = [];
  refused = 0;
  private incarnation = 1;
  readonly quotas: Quota[] = [];
  private readonly known: Map<number, number>[] = [];
  private reports: Report[] = [];
  private readonly random: SeededRandom;

  constructor(
    private readonly count: number,
    private readonly bound: QuotaBound,
    seed: number,
    private readonly reservesForUrgent = false,
  ) {
    this.random = new SeededRandom(seed);
    for (let index = 0; index < count; index++) {
      this.start(index);
    }
  }

  /**
   * Sends requests of 600 to 60,000 units, mean 12,000, at random hosts.
   * @param burst - Units sent at once at the beginning.
   */
  async load(
    account: Account,
    perSecond: number,
    ms: number,
    burst = 0,
  ): Promise<void> {
    let due = burst;
    for (let step = 0; step < ms / STEP_MS; step++) {
      due += (perSecond * STEP_MS) / 1000;
      while (due > 0) {
        // The exponent gives a mean of 12,000: 600 + 59,400 / 5.2.
        const units = 600 + 59_400 * this.random.next() ** 4.2;
        due -= units;
        this.take(Math.floor(this.random.next() * this.count), account, units);
      }
      this.exchange(step);
      await this.clock.advance(STEP_MS);
    }
  }

  /** Returns the highest sum admitted in any window of the bound. */
  getMaxInWindow(): number {
    let first = 0;
    let sum = 0;
    let most = 0;
    for (const {atMs, units} of this.admitted) {
      sum += units;
      while (
        (this.admitted[first]?.atMs ?? atMs) <
        atMs - this.bound.windowMs
      ) {
        sum -= this.admitted[first++]?.units ?? 0;
      }
      most = Math.max(most, sum);
    }
    return most;
  }

  /**
   * Replaces all hosts by new ones.
   * @param storedMs - Age of the stored spending that they read; none if absent.
   */
  killAll(storedMs?: number): void {
    const nowMs = this.clock.monotonicMs();
    this.incarnation++;
    this.reports = [];
    const spending = this.admitted
      .map(({atMs, units}) => ({agoMs: nowMs - atMs, units}))
      .filter(({agoMs}) => agoMs >= (storedMs ?? Infinity) && agoMs < 10_000);
    for (let index = 0; index < this.count; index++) {
      this.start(index);
      this.quotas[index]?.restoreSpending(CUSTOMER, spending);
    }
  }

  private start(index: number): void {
    const known = new Map<number, number>();
    this.known[index] = known;
    this.quotas[index] = new Quota({
      clock: this.clock,
      sumPeerDemand: () => [...known.values()].reduce((a, b) => a + b, 0),
      countReportingHosts: () => known.size,
      countHosts: () => this.count,
      countReachableHosts: () => this.count,
      getBound: () => this.bound,
      reservesForUrgent: () => this.reservesForUrgent,
    });
  }

  private take(index: number, account: Account, units: number): void {
    if (this.quotas[index]?.take(account, units) === 0) {
      this.admitted.push({atMs: this.clock.monotonicMs(), units});
    } else {
      this.refused++;
    }
  }

  private exchange(step: number): void {
    const nowMs = this.clock.monotonicMs();
    for (const [from, quota] of this.quotas.entries()) {
      if ((step + from) % (REPORT_MS / STEP_MS) === 0) {
        this.reports.push({
          dueMs: nowMs + 200 + 400 * this.random.next(),
          from,
          demand: quota.listDemand()[0]?.perSecond ?? 0,
          units: quota.listSpending()[0]?.units ?? 0,
        });
      }
    }
    const due = this.reports.filter(({dueMs}) => dueMs <= nowMs);
    this.reports = this.reports.filter(({dueMs}) => dueMs > nowMs);
    for (const {from, demand, units} of due) {
      for (const [to, quota] of this.quotas.entries()) {
        if (to !== from) {
          this.known[to]?.set(from, demand);
          quota.addPeerSpending(`${from}/${this.incarnation}`, [
            {customer: CUSTOMER, units},
          ]);
        }
      }
    }
  }
}
