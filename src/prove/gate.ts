import {CancelTimer, Clock} from '../time/index.js';

/**
 * Freezes or kills a simulated host. Everything the host awaits passes through
 * its gate, so no wait returns while the gate is shut.
 */
export class Gate {
  private shut: Promise<void> | undefined;
  private open: () => void = () => undefined;
  private dead = false;

  /** Stops the host until `thaw`. */
  freeze(): void {
    this.shut ??= new Promise(resolve => {
      this.open = resolve;
    });
  }

  /** Resumes a frozen host; has no effect on a killed one. */
  thaw(): void {
    if (!this.dead) {
      this.shut = undefined;
      this.open();
    }
  }

  /** Stops the host permanently. */
  kill(): void {
    this.dead = true;
    this.shut = new Promise(() => undefined);
  }

  /** Returns whether the host was killed. */
  isDead(): boolean {
    return this.dead;
  }

  /** Returns whether the host is running: neither frozen nor killed. */
  isOpen(): boolean {
    return this.shut === undefined;
  }

  /** Waits until the host is running; never resolves once it was killed. */
  async pass(): Promise<void> {
    while (this.shut !== undefined) {
      await this.shut;
    }
  }

  /** Makes an outgoing call of the host; waits for the gate before and after it. */
  async call<T>(send: () => Promise<T>): Promise<T> {
    await this.pass();
    const result = await send();
    await this.pass();
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
    await this.gate.pass();
  }

  startTimer(ms: number, call: () => void): CancelTimer {
    let isCancelled = false;
    const callOnceOpen = async () => {
      await this.gate.pass();
      if (!isCancelled) {
        call();
      }
    };
    const cancel = this.clock.startTimer(ms, () => void callOnceOpen());
    return () => {
      isCancelled = true;
      cancel();
    };
  }
}
