import {CancelTimer, Clock} from './clock.js';
import {VirtualTimer, VirtualTimerQueue} from './virtual_timer_queue.js';

/** Turns of the event loop in which resumed tasks run before time advances again. */
const SETTLE_TURNS = 4;

/**
 * Clock that advances only on request; used by tests, simulations and
 * measurements.
 */
export class VirtualClock implements Clock {
  private currentMs = 0;
  private order = 0;
  private readonly timers = new VirtualTimerQueue();

  /**
   * @param epochMs - Wall-clock time at monotonic time 0, in Unix milliseconds.
   */
  constructor(private readonly epochMs = 0) {}

  now(): Date {
    return new Date(this.epochMs + this.currentMs);
  }

  monotonicMs(): number {
    return this.currentMs;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
      return Promise.resolve();
    }
    return new Promise(resolve => {
      const cancel = () => {
        timer.cancelled = true;
        resolve();
      };
      const timer: VirtualTimer = {
        dueMs: this.currentMs + Math.max(0, ms),
        order: this.order++,
        cancelled: false,
        fire: () => {
          signal?.removeEventListener('abort', cancel);
          resolve();
        },
      };
      this.timers.add(timer);
      signal?.addEventListener('abort', cancel, {once: true});
    });
  }

  startTimer(ms: number, call: () => void): CancelTimer {
    const timer: VirtualTimer = {
      dueMs: this.currentMs + Math.max(0, ms),
      order: this.order++,
      cancelled: false,
      fire: call,
    };
    this.timers.add(timer);
    return () => {
      timer.cancelled = true;
    };
  }

  /**
   * Advances the time and fires all timers that become due, in order.
   * @param ms - Duration to advance by, in milliseconds.
   */
  async advance(ms: number): Promise<void> {
    const endMs = this.currentMs + ms;
    await this.settle();
    for (;;) {
      const next = this.timers.takeNext(endMs);
      if (next === undefined) {
        break;
      }
      this.currentMs = Math.max(this.currentMs, next.dueMs);
      next.fire();
      await this.settle();
    }
    this.currentMs = endMs;
  }

  private async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn++) {
      await new Promise<void>(resolve => setImmediate(resolve));
    }
  }
}
