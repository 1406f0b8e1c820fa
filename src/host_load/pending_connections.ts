/** Dependencies of `PendingConnections`. */
export interface PendingConnectionsOptions {
  /** Returns whether the event loop has no idle time. */
  readonly isBusy: () => boolean;
  /** Calls a function after the event loop has read what waited on its sockets. */
  readonly afterPoll: (call: () => void) => void;
}

/** Largest number of connections that are accepted before requests are handled. */
const MAX_ACCEPTED = 256;

/**
 * Has all connections that wait in the kernel accepted before requests are handled.
 *
 * Node accepts one connection per turn of the event loop. On a busy host, a turn takes as
 * long as the requests in it, and connections wait in the kernel, where nothing measures
 * them: up to several seconds at twice the load.
 */
export class PendingConnections {
  private accepted = 0;
  private acceptedBefore = 0;
  private waiting: Promise<void> | undefined;

  constructor(private readonly options: PendingConnectionsOptions) {}

  /** Records that a connection was accepted. */
  add(): void {
    this.accepted++;
  }

  /**
   * Returns a promise that resolves after a turn in which no connection was accepted;
   * `undefined` if there is nothing to wait for. All callers wait for the same promise, so
   * they continue in the order of their calls.
   */
  accept(): Promise<void> | undefined {
    if (this.waiting !== undefined) {
      return this.waiting;
    }
    if (!this.options.isBusy() || this.accepted === this.acceptedBefore) {
      return undefined;
    }
    this.waiting = new Promise(resolve => {
      this.continue(this.accepted, () => {
        this.waiting = undefined;
        this.acceptedBefore = this.accepted;
        resolve();
      });
    });
    return this.waiting;
  }

  private continue(start: number, finish: () => void): void {
    const seen = this.accepted;
    this.options.afterPoll(() => {
      if (this.accepted === seen || this.accepted - start >= MAX_ACCEPTED) {
        finish();
      } else {
        this.continue(start, finish);
      }
    });
  }
}
