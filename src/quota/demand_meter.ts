import {Clock} from '../time/index.js';
import {Demand} from './demand.js';

/** Time constant of the exponential smoothing. */
const SMOOTHING_MS = 2000;
const MS_PER_SECOND = 1000;
/**
 * Demand, in units per second, up to which a customer is omitted from the list.
 */
const MIN_LISTED_PER_SECOND = 0.5;

/** Smoothed demand of one customer, as of its last update. */
interface Smoothed {
  perSecond: number;
  updatedMs: number;
}

/** Measures each customer's demand, admitted or not, smoothed over seconds. */
export class DemandMeter {
  private readonly demands = new Map<string, Smoothed>();

  constructor(private readonly clock: Clock) {}

  /** Adds the units that a request asks for. */
  add(customer: string, units: number): void {
    const perSecond =
      this.get(customer) + (units * MS_PER_SECOND) / SMOOTHING_MS;
    this.demands.set(customer, {
      perSecond,
      updatedMs: this.clock.monotonicMs(),
    });
  }

  /** Returns a customer's demand in units per second. */
  get(customer: string): number {
    const known = this.demands.get(customer);
    if (known === undefined) {
      return 0;
    }
    const ageMs = this.clock.monotonicMs() - known.updatedMs;
    return known.perSecond * Math.exp(-ageMs / SMOOTHING_MS);
  }

  /** Lists the demands that are worth reporting. */
  list(): Demand[] {
    const demands: Demand[] = [];
    for (const customer of this.demands.keys()) {
      const perSecond = Math.round(this.get(customer));
      if (perSecond > MIN_LISTED_PER_SECOND) {
        demands.push({customer, perSecond});
      }
    }
    return demands;
  }
}
