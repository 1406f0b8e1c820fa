import {Clock} from '../time/index.js';
import {DemandMeter} from './demand_meter.js';

/** Time for whose urgent demand less urgent requests leave room, in seconds. */
const HORIZON_S = 1;
/**
 * Largest reserve, as a share of the depth of a bucket: with the units of the request,
 * which count up to half of the depth, a bucket that fills can always cover both.
 */
const MAX_DEPTH_SHARE = 0.4;
/** Part of the units held back for the reserve that are exempt from it. */
const MINIMUM_PART = 0.1;

/**
 * Room in a customer's rate that its less urgent requests leave to its more urgent ones: as
 * much as those are expected to need in the next second, by the smoothed demand of each
 * rank. When urgent demand ends, the reserve decays with it.
 */
export class UrgentReserve {
  private readonly demandByRank = new Map<number, DemandMeter>();
  /** Units that are exempt from the reserve next, by customer and rank. */
  private readonly exempt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Adds the units that a request asks for. */
  addDemand(customer: string, rank: number, units: number): void {
    const meter = this.demandByRank.get(rank) ?? new DemandMeter(this.clock);
    this.demandByRank.set(rank, meter);
    meter.add(customer, units);
  }

  /** Returns this host's demand for more urgent ranks of a customer, in units per second. */
  getMoreUrgent(customer: string, rank: number): number {
    let perSecond = 0;
    for (const [other, meter] of this.demandByRank) {
      perSecond += other < rank ? meter.get(customer) : 0;
    }
    return perSecond;
  }

  /**
   * Returns the units to reserve in a bucket.
   * @param perSecond - Demand of the more urgent ranks that draw on the bucket.
   * @param depth - Depth of the bucket.
   */
  getUnits(perSecond: number, depth: number): number {
    return Math.min(
      perSecond * HORIZON_S,
      Math.max(0, depth) * MAX_DEPTH_SHARE,
    );
  }

  /** Returns whether a request is exempt, so that its rank is not starved. */
  isExempt(customer: string, rank: number, units: number): boolean {
    return (this.exempt.get(`${rank} ${customer}`) ?? 0) >= units;
  }

  /** Records that a request was held back; a part of its units become exempt. */
  addHeldBack(customer: string, rank: number, units: number): void {
    const key = `${rank} ${customer}`;
    this.exempt.set(key, (this.exempt.get(key) ?? 0) + units * MINIMUM_PART);
  }

  /** Records that an exempt request was admitted. */
  spendExempt(customer: string, rank: number, units: number): void {
    const key = `${rank} ${customer}`;
    this.exempt.set(key, (this.exempt.get(key) ?? 0) - units);
  }
}
