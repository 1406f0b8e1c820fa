import {CancelTimer, Clock} from './clock.js';
import {Sleeper, SleeperQueue} from './sleeper_queue.js';

/** Turns of the event loop given to woken tasks before time moves again. */
const SETTLE_TURNS = 4;

/** Clock that moves only when told to; used by tests, proofs and measurements. */
export class VirtualClock implements Clock {
  private currentMs = 0;
  private order = 0;
  private readonly sleepers = new SleeperQueue();

  /** @param epochMs - Wall-clock time at virtual zero, in Unix milliseconds. */
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
        sleeper.cancelled = true;
        resolve();
      };
      const sleeper: Sleeper = {
        wakeAtMs: this.currentMs + Math.max(0, ms),
        order: this.order++,
        cancelled: false,
        wake: () => {
          signal?.removeEventListener('abort', cancel);
          resolve();
        },
      };
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', cancel, {once: true});
    });
  }

  startTimer(ms: number, call: () => void): CancelTimer {
    const sleeper: Sleeper = {
      wakeAtMs: this.currentMs + Math.max(0, ms),
      order: this.order++,
      cancelled: false,
      wake: call,
    };
    this.sleepers.add(sleeper);
    return () => {
      sleeper.cancelled = true;
    };
  }

  /**
   * Moves time forward and wakes every sleeper that falls due, in order.
   * @param ms - Span to move by, in milliseconds.
   */
  async advance(ms: number): Promise<void> {
    const endMs = this.currentMs + ms;
    await this.settle();
    for (;;) {
      const next = this.sleepers.takeNext(endMs);
      if (next === undefined) {
        break;
      }
      this.currentMs = Math.max(this.currentMs, next.wakeAtMs);
      next.wake();
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
