/** A request that is accepted and not yet sent to a server. */
export interface UnsentRequest {
  /** Records that it is sent to a server; returns whether it was unsent. */
  addSend(): boolean;
  /** Records that it has ended, sent or not. */
  end(): void;
}

/** The requests that this host has accepted and not yet sent to a server. */
export class UnsentRequests {
  /** Estimated times of arrival, in monotonic milliseconds, in the order of acceptance. */
  private readonly arrivals = new Map<object, number>();
  private sent = 0;

  /** @param arrivedMs - Estimated time of arrival, in monotonic milliseconds. */
  add(arrivedMs: number): UnsentRequest {
    const key = {};
    this.arrivals.set(key, arrivedMs);
    return {
      addSend: () => {
        const wasUnsent = this.arrivals.delete(key);
        this.sent += wasUnsent ? 1 : 0;
        return wasUnsent;
      },
      end: () => {
        this.arrivals.delete(key);
      },
    };
  }

  /** Returns the number of requests not yet sent. */
  count(): number {
    return this.arrivals.size;
  }

  /** Returns the number of requests sent since the start of the process. */
  countSent(): number {
    return this.sent;
  }

  /** Returns the age of the oldest request not yet sent, in milliseconds; 0 if none. */
  getOldestMs(nowMs: number): number {
    let oldestMs = nowMs;
    for (const arrivedMs of this.arrivals.values()) {
      oldestMs = Math.min(oldestMs, arrivedMs);
    }
    return nowMs - oldestMs;
  }
}
