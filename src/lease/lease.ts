import {Result} from 'true-myth';
import {
  ABSENT,
  RestorationWatch,
  Row,
  StepKind,
  TableFailure,
  TableFailureKind,
  TableService,
} from '../table/index.js';
import {Clock} from '../time/index.js';

/** Table row of a lease. */
interface LeaseRow {
  readonly holder: string;
  /** Increases with every change of holder; sent with each operation of the holder. */
  readonly fence: number;
  /** Previous holders, the latest first. */
  readonly former?: readonly string[];
  /** Changes with every write, so that other hosts see that the holder is alive. */
  readonly beat: number;
}

/** A lease that this host holds. */
export interface HeldLease {
  /** Fencing number to send with each operation under this lease. */
  readonly fence: number;
  /** Expiry on the holder's own monotonic clock, in milliseconds. */
  readonly untilMs: number;
  /**
   * The same expiry as wall-clock time, in Unix milliseconds: the monotonic clock of a
   * machine does not advance while the machine is suspended.
   */
  readonly untilTimeOfDayMs: number;
  /**
   * Whether this machine held the lease earlier and another one held it in between:
   * operations of that other holder may still be taken as the latest.
   */
  readonly isReturn: boolean;
}

/** Dependencies and timing of a lease. */
export interface LeaseOptions {
  readonly table: TableService;
  readonly clock: Clock;
  /** Name of the role, such as "placement"; used in the row's key. */
  readonly role: string;
  /** Host and incarnation of this process. */
  readonly holder: string;
  /** Time after which the lease expires without renewal, in milliseconds. */
  readonly durationMs: number;
  /** Extra time that other hosts wait beyond the duration, for clock drift, in ms. */
  readonly marginMs: number;
  /**
   * Returns whether a holder is an earlier incarnation of the process on this machine;
   * such a holder has certainly terminated. If omitted, no other holder is.
   */
  readonly isOwnMachine?: (holder: string) => boolean;
  /**
   * Returns the time from which the duration of a granted lease is counted, in
   * monotonic milliseconds; if omitted, it is counted from `sentMs`.
   * @param sentMs - When the request was sent, monotonic milliseconds.
   * @param answeredMs - When the answer arrived, monotonic milliseconds.
   */
  readonly getStartMs?: (sentMs: number, answeredMs: number) => number;
}

const PREFIX = 'leases/';
/** Maximum number of previous holders kept in a row. */
const MAX_FORMER = 6;
/**
 * Fencing numbers of one era of the table. The first one of an era is higher than all that
 * were given out before the table was restored, some of which it has lost.
 */
const FENCES_PER_ERA = 1_000_000;

/**
 * A role that one host holds at a time.
 *
 * The holder counts the duration from before it sent the request, so its lease expires
 * for itself before it can expire for any other host. Other hosts take the row over
 * once they have seen it unchanged for the duration plus a margin.
 *
 * A table that was restored from a copy may have lost the row of the holder. The holder
 * then writes it again, and other hosts wait as long as if they had just seen it.
 */
export class Lease {
  private held: HeldLease | undefined;
  /** Counts releases: an answer that arrives after a release grants no lease. */
  private releases = 0;
  private releasing = false;
  private seenVersion = -1;
  private seenMs = 0;
  /** The row as this holder last wrote it; absent if that is not certain. */
  private writtenRow: Row | undefined;
  private readonly restorations: RestorationWatch;
  /** When the table was last found to be restored, in monotonic milliseconds. */
  private restoredMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: LeaseOptions) {
    this.restorations = new RestorationWatch(options.table);
  }

  /** Returns the lease while this host certainly holds it. */
  getHeld(): HeldLease | undefined {
    const held = this.held;
    const {clock} = this.options;
    if (held === undefined || clock.monotonicMs() >= held.untilMs) {
      return undefined;
    }
    return clock.now().getTime() < held.untilTimeOfDayMs ? held : undefined;
  }

  /**
   * Renews the lease, or takes it if no host holds it. Call this several times per
   * duration.
   * @returns The lease, if this host holds it now.
   */
  async claim(): Promise<HeldLease | undefined> {
    if (this.releasing) {
      return undefined;
    }
    const key = PREFIX + this.options.role;
    const {releases} = this;
    const found = await this.findRow(key);
    this.checkRestored();
    if (found.isErr) {
      return this.getHeld();
    }
    const row = found.value;
    if (!this.mayTake(row)) {
      this.held = undefined;
      return undefined;
    }
    const current = row?.value as LeaseRow | undefined;
    const wasLost = await this.write(key, row, current, releases);
    return wasLost ? this.claim() : this.getHeld();
  }

  /** Returns whether this host may write the row of the lease. */
  private mayTake(row: Row | undefined): boolean {
    const {clock, durationMs, marginMs} = this.options;
    const restoredAgeMs = clock.monotonicMs() - this.restoredMs;
    if (restoredAgeMs < durationMs + marginMs) {
      // The row is as of the copy. The holder, if any, has been granted the lease since.
      return this.getHeld() !== undefined;
    }
    if (row === undefined) {
      return true;
    }
    const {holder} = row.value as LeaseRow;
    return this.isOwnMachine(holder) || this.hasExpired(row);
  }

  /** Returns whether the table was restored from a copy since the last call. */
  private checkRestored(): boolean {
    const hasRestored = this.restorations.hasRestored();
    if (hasRestored) {
      this.restoredMs = this.options.clock.monotonicMs();
      this.writtenRow = undefined;
    }
    return hasRestored;
  }

  /** Reads the current holder from the table; `undefined` if there is none. */
  async readHolder(): Promise<string | undefined> {
    const found = await this.options.table.get(PREFIX + this.options.role);
    const row = found.unwrapOr(undefined)?.value as LeaseRow | undefined;
    return row === undefined || row.holder === '' ? undefined : row.holder;
  }

  /**
   * Returns the row as last written while the lease is held, which saves a read: no
   * other host writes the row then. Reads the row from the table otherwise.
   */
  private async findRow(
    key: string,
  ): Promise<Result<Row | undefined, TableFailure>> {
    this.checkRestored();
    const known = this.writtenRow;
    this.writtenRow = undefined;
    return known !== undefined && this.getHeld() !== undefined
      ? Result.ok(known)
      : this.options.table.get(key);
  }

  /** Releases the lease, so that another host can take it at once. */
  async release(): Promise<void> {
    const key = PREFIX + this.options.role;
    this.held = undefined;
    this.releases++;
    this.releasing = true;
    await this.clear(key);
    this.releasing = false;
  }

  private async clear(key: string): Promise<void> {
    const found = await this.options.table.get(key);
    const row = found.unwrapOr(undefined);
    const current = row?.value as LeaseRow | undefined;
    if (row === undefined || current?.holder !== this.options.holder) {
      return;
    }
    await this.options.table.transact([
      {
        kind: StepKind.PUT,
        key,
        ifVersion: row.version,
        value: {
          ...current,
          holder: '',
          former: listFormer(current, ''),
        },
      },
    ]);
  }

  /**
   * Writes the row of the lease.
   * @returns Whether the table was found to be restored, so that the row must be read and
   *   written again.
   */
  private async write(
    key: string,
    row: Row | undefined,
    current: LeaseRow | undefined,
    releases: number,
  ): Promise<boolean> {
    const {clock, holder, table, durationMs, getStartMs} = this.options;
    if (releases !== this.releases) {
      return false;
    }
    const previous = Math.max(
      current?.fence ?? 0,
      (table.getEra() ?? 0) * FENCES_PER_ERA,
    );
    // An own lease that has expired is taken as a new one, with a new fencing number:
    // other hosts may have been told of the expiry.
    const next: LeaseRow = {
      holder,
      fence: this.getHeld()?.fence ?? previous + 1,
      former: listFormer(current, holder),
      beat: (current?.beat ?? 0) + 1,
    };
    const sentMs = clock.monotonicMs();
    const sentTimeOfDayMs = clock.now().getTime();
    const written = await table.transact([
      {kind: StepKind.PUT, key, ifVersion: row?.version ?? ABSENT, value: next},
    ]);
    if (releases !== this.releases) {
      return false;
    }
    const wasLost = this.checkRestored();
    if (written.isOk) {
      const version = written.value.versions[key];
      this.writtenRow =
        version === undefined ? undefined : {key, version, value: next};
      const startMs = getStartMs?.(sentMs, clock.monotonicMs()) ?? sentMs;
      this.held = {
        fence: next.fence,
        isReturn: this.isReturn(next.former ?? []),
        untilMs: startMs + durationMs,
        untilTimeOfDayMs: sentTimeOfDayMs + (startMs - sentMs) + durationMs,
      };
      return wasLost;
    }
    if (written.error.kind === TableFailureKind.CONFLICT && !wasLost) {
      this.held = undefined;
    }
    return wasLost;
  }

  private isOwnMachine(holder: string): boolean {
    const {isOwnMachine, holder: own} = this.options;
    return holder === own || isOwnMachine?.(holder) === true;
  }

  /**
   * Returns whether, among the previous holders, this machine held the lease and
   * another machine after it. This machine alone as the latest holder is no return.
   */
  private isReturn(former: readonly string[]): boolean {
    let other = false;
    for (const holder of former) {
      if (!this.isOwnMachine(holder)) {
        other = true;
      } else if (other) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a row is released, or was seen unchanged for long enough. */
  private hasExpired(row: Row): boolean {
    const {clock, durationMs, marginMs} = this.options;
    const nowMs = clock.monotonicMs();
    if ((row.value as LeaseRow).holder === '') {
      return true;
    }
    if (row.version !== this.seenVersion) {
      this.seenVersion = row.version;
      this.seenMs = nowMs;
      return false;
    }
    return nowMs - this.seenMs >= durationMs + marginMs;
  }
}

function listFormer(
  current: LeaseRow | undefined,
  holder: string,
): readonly string[] {
  const former = current?.former ?? [];
  if (current === undefined || current.holder === holder) {
    return former;
  }
  // A released lease has an empty holder.
  const last = current.holder === '' ? [] : [current.holder];
  return [...last, ...former].slice(0, MAX_FORMER);
}
