import {DemandMeter} from '../quota/index.js';
import {Clock} from '../time/index.js';

/** Measures requests per second at this host by service and urgency rank. */
export class RankDemand {
  private readonly meter: DemandMeter;

  constructor(clock: Clock) {
    this.meter = new DemandMeter(clock);
  }

  add(service: string, rank: number): void {
    this.meter.add(createKey(service, rank), 1);
  }

  /** Returns the requests per second of all ranks that are more urgent than a rank. */
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
