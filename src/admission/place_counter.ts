import {CustomerUsage} from './fair_share.js';
import {UsageCounter} from './usage_counter.js';

/** Requests in flight of one customer at one service. */
export type PlacesInUse = readonly [
  service: string,
  customer: string,
  inFlight: number,
];

/** Counts requests in flight by service and customer, at this host and at all. */
export class PlaceCounter {
  private readonly byService = new Map<string, UsageCounter>();

  /**
   * @param listPeerPlaces - Returns the requests in flight at the other hosts, as last
   *   reported; without the reports that are stale.
   */
  constructor(private readonly listPeerPlaces: () => readonly PlacesInUse[]) {}

  /** Counts a request as in flight; returns the function that ends it. */
  add(service: string, customer: string): () => void {
    return this.getCounter(service).add(customer);
  }

  /** Returns this host's own requests in flight, as reported to peers. */
  listOwn(): PlacesInUse[] {
    const places: PlacesInUse[] = [];
    for (const [service, counter] of this.byService) {
      for (const {customer, inFlight} of counter.listOwn()) {
        places.push([service, customer, inFlight]);
      }
    }
    return places;
  }

  /** Returns the requests in flight at a service over all hosts, by customer. */
  listAll(service: string): CustomerUsage[] {
    return this.getCounter(service).listAll();
  }

  private getCounter(service: string): UsageCounter {
    const known = this.byService.get(service);
    if (known !== undefined) {
      return known;
    }
    const counter = new UsageCounter(() => this.listPeerUsage(service));
    this.byService.set(service, counter);
    return counter;
  }

  private listPeerUsage(service: string): CustomerUsage[] {
    const usage: CustomerUsage[] = [];
    for (const [name, customer, inFlight] of this.listPeerPlaces()) {
      if (name === service) {
        usage.push({customer, inFlight});
      }
    }
    return usage;
  }
}
