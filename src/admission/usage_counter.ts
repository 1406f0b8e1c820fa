import {CustomerUsage} from './fair_share.js';

/**
 * Counts requests in flight per customer, on this host and as reported by
 * peers.
 */
export class UsageCounter {
  private readonly own = new Map<string, number>();

  /**
   * @param listPeerUsage - Returns the last reports of the live peers of this
   *   data centre. While they cannot be reached, only this host's own requests
   *   are counted.
   */
  constructor(private readonly listPeerUsage: () => readonly CustomerUsage[]) {}

  /** Counts a request as in flight; returns the function that ends it. */
  add(customer: string): () => void {
    this.own.set(customer, (this.own.get(customer) ?? 0) + 1);
    let open = true;
    return () => {
      if (!open) {
        return;
      }
      open = false;
      const left = (this.own.get(customer) ?? 1) - 1;
      if (left > 0) {
        this.own.set(customer, left);
      } else {
        this.own.delete(customer);
      }
    };
  }

  /** Returns this host's own requests in flight, as reported to peers. */
  listOwn(): CustomerUsage[] {
    return [...this.own].map(([customer, inFlight]) => ({customer, inFlight}));
  }

  /** Returns the requests in flight of the whole data centre. */
  listAll(): CustomerUsage[] {
    const sums = new Map(this.own);
    for (const usage of this.listPeerUsage()) {
      sums.set(
        usage.customer,
        (sums.get(usage.customer) ?? 0) + usage.inFlight,
      );
    }
    return [...sums].map(([customer, inFlight]) => ({customer, inFlight}));
  }
}
