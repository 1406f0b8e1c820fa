import {CancelTimer, Clock} from '../time/index.js';

/**
 * Lets a host be frozen or killed: everything the host awaits passes through
 * its gate, and so does not return while the gate is shut.
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

  /** Lets a frozen host go on. */
  thaw(): void {
    if (!this.dead) {
      this.shut = undefined;
      this.open();
    }
  }

  /** Stops the host for good. */
  kill(): void {
    this.dead = true;
    this.shut = new Promise(() => undefined);
  }

  /** Tells whether the host was killed. */
  isDead(): boolean {
    return this.dead;
  }

  /** Tells whether the host runs now. */
  isOpen(): boolean {
    return this.shut === undefined;
  }

  /** Waits until the host runs; never returns once it was killed. */
  async pass(): Promise<void> {
    while (this.shut !== undefined) {
      await this.shut;
    }
  }

  /** Wraps a call out of the host. */
  async call<T>(send: () => Promise<T>): Promise<T> {
    await this.pass();
    const result = await send();
    await this.pass();
    return result;
  }
}

/** The clock as one host sees it: waits end only while the host runs. */
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
