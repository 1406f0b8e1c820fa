import {CancelTimer, Clock} from '../../src/time/index.js';

interface Timer {
  readonly dueMs: number;
  readonly call: () => void;
}

/** A clock and an event loop in which work takes time, so that timers fire late. */
export class VirtualEventLoop implements Clock {
  usedMs = 0;
  idleMs = 0;
  wallStepMs = 0;
  private nowMs = 0;
  private readonly timers = new Set<Timer>();
  /** What waits on sockets, in the order of arrival. */
  private readonly events: Timer[] = [];
  private readonly checks: (() => void)[] = [];

  now(): Date {
    return new Date(this.nowMs + this.wallStepMs);
  }

  monotonicMs(): number {
    return this.nowMs;
  }

  sleep(): Promise<void> {
    throw new Error('not used');
  }

  startTimer(ms: number, call: () => void): CancelTimer {
    const timer = {dueMs: this.nowMs + ms, call};
    this.timers.add(timer);
    return () => this.timers.delete(timer);
  }

  /** Adds an event that is read in the first turn that begins after its arrival. */
  addEvent(dueMs: number, call: () => void): void {
    this.events.push({dueMs, call});
    this.events.sort((a, b) => a.dueMs - b.dueMs);
  }

  readonly afterPoll = (call: () => void): void => void this.checks.push(call);

  /** Uses processor time. */
  work(ms: number): void {
    this.nowMs += ms;
    this.usedMs += ms;
  }

  /** Lets time pass in which the process does not run. */
  freeze(ms: number): void {
    this.nowMs += ms;
  }

  /** Runs turns of the event loop until a time. */
  runUntil(endMs: number): void {
    while (this.nowMs < endMs) {
      for (const timer of this.timers) {
        if (timer.dueMs <= this.nowMs) {
          this.timers.delete(timer);
          timer.call();
        }
      }
      const isWaiting = this.events.findIndex(e => e.dueMs > this.nowMs);
      const readable = isWaiting < 0 ? this.events.length : isWaiting;
      for (const {call} of this.events.splice(0, readable)) {
        call();
      }
      for (const call of this.checks.splice(0)) {
        call();
      }
      this.skipIdleTime(endMs);
    }
  }

  private skipIdleTime(endMs: number): void {
    let nextMs = Math.min(endMs, this.events[0]?.dueMs ?? endMs);
    for (const {dueMs} of this.timers) {
      nextMs = Math.min(nextMs, dueMs);
    }
    this.idleMs += Math.max(0, nextMs - this.nowMs);
    this.nowMs = Math.max(this.nowMs, nextMs);
  }
}
