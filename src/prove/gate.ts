import {CancelTimer, Clock} from '../time/index.js';

/**
 * Freezes or kills a simulated host. Everything the host awaits passes through
 * its gate, so no wait returns while the gate blocks it.
 */
export class Gate {
  private blocked: Promise<void> | undefined;
  private unblock: () => void = () => undefined;
  private dead = false;

  /** Stops the host until `thaw`. */
  freeze(): void {
    this.blocked ??= new Promise(resolve => {
      this.unblock = resolve;
    });
  }

  /** Resumes a frozen host; has no effect on a killed one. */
  thaw(): void {
    if (!this.dead) {
      this.blocked = undefined;
      this.unblock();
    }
  }

  /** Stops the host permanently. */
  kill(): void {
    this.dead = true;
    this.blocked = new Promise(() => undefined);
  }

  /** Returns whether the host was killed. */
  isDead(): boolean {
    return this.dead;
  }

  /** Returns whether the host is running: neither frozen nor killed. */
  isRunning(): boolean {
    return this.blocked === undefined;
  }

  /** Waits until the host is running; never resolves once it was killed. */
  async waitUntilRunning(): Promise<void> {
    while (this.blocked !== undefined) {
      await this.blocked;
    }
  }

  /** Makes an outgoing call of the host; waits for the gate before and after it. */
  async call<T>(send: () => Promise<T>): Promise<T> {
    await this.waitUntilRunning();
    const result = await send();
    await this.waitUntilRunning();
    return result;
  }
}

/** The clock of one simulated host: sleeps and timers end only while it is running. */
export class GatedClock implements Clock {
  constructor(
    private readonly clock: Clock,
    private readonly gate: Gate,
  ) {}

  now(): Date {
    return this.clock.now();
  }

  monotonicMs(): number {
    return this.clock.monotonicMs();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal);
    await this.gate.waitUntilRunning();
  }

  startTimer(ms: number, call: () => void): CancelTimer {
    let isCancelled = false;
    const callWhenRunning = async () => {
      await this.gate.waitUntilRunning();
      if (!isCancelled) {
        call();
      }
    };
    const cancel = this.clock.startTimer(ms, () => void callWhenRunning());
    return () => {
      isCancelled = true;
      cancel();
    };
  }
}
