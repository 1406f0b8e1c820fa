import {DemandMeter} from '../quota/index.js';
import {Clock} from '../time/index.js';

/** Requests a second of each service at this host, by their rank. */
export class RankDemand {
  private readonly meter: DemandMeter;

  constructor(clock: Clock) {
    this.meter = new DemandMeter(clock);
  }

  /** Counts a request. */
  add(service: string, rank: number): void {
    this.meter.add(createKey(service, rank), 1);
  }

  /** Returns the requests a second that are more urgent than a rank. */
  sumMoreUrgent(service: string, rank: number): number {
    let sum = 0;
    for (let other = 0; other < rank; other++) {
      sum += this.meter.get(createKey(service, other));
    }
    return sum;
  }
}

function createKey(service: string, rank: number): string {
  return `${service}/${rank}`;
}
