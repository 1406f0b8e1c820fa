import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {Lease} from './lease.js';

/** What a duty works with. */
export interface DutyOptions {
  readonly lease: Lease;
  readonly clock: Clock;
  readonly log: Log;
  /** Pause between renewals, in milliseconds. */
  readonly renewMs: number;
  /** Pause between looks while another host holds it, in milliseconds. */
  readonly watchMs: number;
  /**
   * Time before the lease ends in which nothing is begun, in milliseconds, so
   * that no order is under way when another holder may act.
   */
  readonly marginMs: number;
  /**
   * Time in which a machine that regains the duty does not act, in
   * milliseconds: as long as an order of the holder between may count.
   */
  readonly quietMs: number;
  /** Tells whether this host should try to hold the duty while it does not. */
  readonly competes: () => boolean;
}

/** A duty of one host at a time: keeps its lease and tells when to act. */
export class Duty {
  private fence: number | undefined;
  private sinceMs = 0;

  constructor(private readonly options: DutyOptions) {}

  /** Renews or claims the lease until aborted, then gives it up. */
  async run(signal: AbortSignal): Promise<void> {
    const {lease, clock, renewMs, watchMs} = this.options;
    while (!signal.aborted) {
      if (lease.getHeld() === undefined && !this.options.competes()) {
        this.note(undefined);
        await clock.sleep(watchMs, signal);
        continue;
      }
      const held = await lease.claim();
      this.note(held?.fence);
      await clock.sleep(held === undefined ? watchMs : renewMs, signal);
    }
    await lease.release();
    this.note(undefined);
  }

  /** Reads who holds the duty, as the table says; nothing where nobody does. */
  readHolder(): Promise<string | undefined> {
    return this.options.lease.readHolder();
  }

  /** Tells whether this host holds the duty, if only to become quiet. */
  isHeld(): boolean {
    return this.options.lease.getHeld() !== undefined;
  }

  /**
   * Returns the fencing number under which this host may act right now. Ask
   * again directly before each act.
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

  private note(fence: number | undefined): void {
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
