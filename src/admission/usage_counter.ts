import {CustomerUsage} from './fair_share.js';

/** Requests in flight per customer: counted here, heard from peers. */
export class UsageCounter {
  private readonly own = new Map<string, number>();

  /**
   * @param listPeerUsage - Returns what the live peers of this data centre
   *   said last; while they are cut off, what remains is this host's own.
   */
  constructor(private readonly listPeerUsage: () => readonly CustomerUsage[]) {}

  /** Counts a request in; returns the function that counts it out. */
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

  /** Returns this host's own use, to tell peers. */
  listOwn(): CustomerUsage[] {
    return [...this.own].map(([customer, inFlight]) => ({customer, inFlight}));
  }

  /** Returns the use of the whole data centre. */
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
