import {Clock} from '../time/index.js';

/** A request that waits for a slot. */
interface Waiter {
  /** Urgency rank; 0 is the most urgent. */
  readonly rank: number;
  readonly settle: (isWoken: boolean) => void;
}

/** Requests that wait at this host for a slot of a service, the most urgent first. */
export class SlotQueue {
  private readonly waiters: Waiter[] = [];

  constructor(private readonly clock: Clock) {}

  /** Returns the number of waiting requests that are at least as urgent as a rank. */
  countAhead(rank: number): number {
    return this.waiters.filter(waiter => waiter.rank <= rank).length;
  }

  /**
   * Waits until the request is the next for a slot.
   * @param rank - Urgency rank; 0 is the most urgent.
   * @param maxMs - Longest wait, in milliseconds.
   * @param signal - Ends the wait when aborted.
   * @returns Whether it is the next; otherwise the wait has ended before.
   */
  wait(rank: number, maxMs: number, signal: AbortSignal): Promise<boolean> {
    return new Promise(resolve => {
      const settle = (isWoken: boolean) => {
        cancelTimer();
        signal.removeEventListener('abort', leave);
        this.remove(waiter);
        resolve(isWoken);
      };
      const leave = () => settle(false);
      const waiter = {rank, settle};
      const cancelTimer = this.clock.startTimer(maxMs, leave);
      signal.addEventListener('abort', leave);
      this.add(waiter);
    });
  }

  /** Wakes the next request, if any waits. */
  wakeNext(): void {
    this.waiters[0]?.settle(true);
  }

  private add(waiter: Waiter): void {
    const index = this.waiters.findIndex(({rank}) => rank > waiter.rank);
    this.waiters.splice(index < 0 ? this.waiters.length : index, 0, waiter);
  }

  private remove(waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter);
    if (index >= 0) {
      this.waiters.splice(index, 1);
    }
  }
}
