import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {Lease} from './lease.js';

/** Dependencies and timing of a duty. */
export interface DutyOptions {
  readonly lease: Lease;
  readonly clock: Clock;
  readonly log: Log;
  /** Interval between renewals, in milliseconds. */
  readonly renewMs: number;
  /** Interval between checks while another host holds the duty, in milliseconds. */
  readonly watchMs: number;
  /**
   * Time before the lease expires in which the holder starts nothing new, in
   * milliseconds, so that no operation is in progress when another holder may act.
   */
  readonly marginMs: number;
  /**
   * Time for which a machine that regains the duty does not act, in milliseconds:
   * as long as an operation of the holder in between may still take effect.
   */
  readonly quietMs: number;
  /** Returns whether this host should try to acquire the duty while it does not hold it. */
  readonly competes: () => boolean;
}

/**
 * Work that one host does at a time. Keeps the lease renewed and decides whether this
 * host may act.
 */
export class Duty {
  private fence: number | undefined;
  private sinceMs = 0;

  constructor(private readonly options: DutyOptions) {}

  /** Renews or claims the lease until aborted, then releases it. */
  async run(signal: AbortSignal): Promise<void> {
    const {lease, clock, renewMs, watchMs} = this.options;
    while (!signal.aborted) {
      if (lease.getHeld() === undefined && !this.options.competes()) {
        this.recordFence(undefined);
        await clock.sleep(watchMs, signal);
        continue;
      }
      const held = await lease.claim();
      this.recordFence(held?.fence);
      await clock.sleep(held === undefined ? watchMs : renewMs, signal);
    }
    await lease.release();
    this.recordFence(undefined);
  }

  /** Reads the current holder of the duty from the table; `undefined` if there is none. */
  readHolder(): Promise<string | undefined> {
    return this.options.lease.readHolder();
  }

  /** Returns whether this host holds the duty, even if it may not act yet or any more. */
  isHeld(): boolean {
    return this.options.lease.getHeld() !== undefined;
  }

  /**
   * Returns the fencing number under which this host may act now; `undefined` if it
   * may not act. Call this directly before each action.
   */
  getFence(): number | undefined {
    const {lease, clock, quietMs} = this.options;
    const held = lease.getHeld();
    if (held === undefined || held.fence !== this.fence) {
      return undefined;
    }
    if (held.untilMs - clock.monotonicMs() < this.options.marginMs) {
      return undefined;
    }
    const heldMs = clock.monotonicMs() - this.sinceMs;
    return held.isReturn && heldMs < quietMs ? undefined : held.fence;
  }

  private recordFence(fence: number | undefined): void {
    if (fence === this.fence) {
      return;
    }
    this.options.log.info(fence === undefined ? 'duty_lost' : 'duty_gained', {
      fence: fence ?? this.fence,
    });
    this.fence = fence;
    this.sinceMs = this.options.clock.monotonicMs();
  }
}
