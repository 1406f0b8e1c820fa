import {Result} from 'true-myth';
import {
  ABSENT,
  Row,
  StepKind,
  TableFailure,
  TableFailureKind,
  TableService,
} from '../table/index.js';
import {Clock} from '../time/index.js';

/** Row of a lease. */
interface LeaseRow {
  readonly holder: string;
  /** Rises with every change of holder; orders bear it. */
  readonly fence: number;
  /** Holders before this one, the latest first. */
  readonly former?: readonly string[];
  /** Differs with every write, so that others see that the holder lives. */
  readonly beat: number;
}

/** A lease that is held now. */
export interface HeldLease {
  /** Number that orders under this lease bear. */
  readonly fence: number;
  /** When the holder must stop, on its own monotonic clock, in ms. */
  readonly untilMs: number;
  /**
   * The same moment by the time of day, in Unix ms: a machine that was
   * suspended does not count that time on its monotonic clock.
   */
  readonly untilTimeOfDayMs: number;
  /**
   * Whether this machine held the lease before another did: orders of that other
   * may still count as the latest.
   */
  readonly isReturn: boolean;
}

/** What a lease works with. */
export interface LeaseOptions {
  readonly table: TableService;
  readonly clock: Clock;
  /** Name of the role, such as "placement"; part of the row's key. */
  readonly role: string;
  /** Host and incarnation of the would-be holder. */
  readonly holder: string;
  /** How long the lease holds without renewal, in milliseconds. */
  readonly durationMs: number;
  /** Time that others wait beyond the duration, for clocks that drift, in ms. */
  readonly marginMs: number;
  /**
   * Tells whether a holder was an earlier start of the process on this machine;
   * such a holder is certainly gone. Left out, none is.
   */
  readonly isOwnMachine?: (holder: string) => boolean;
  /**
   * When a lease granted by an exchange ends for its holder.
   * @param sentMs - When the request was sent.
   * @param answeredMs - When the answer came.
   */
  readonly judge?: (sentMs: number, answeredMs: number) => number;
}

const PREFIX = 'leases/';
/** Former holders that a row remembers. */
const MAX_FORMER = 6;

/**
 * A role that one host holds at a time.
 *
 * The holder counts the duration from before it sent the request, so its lease
 * ends for itself before it can end for anybody else. Others take the row over
 * once they have watched it unchanged for the duration and a margin.
 */
export class Lease {
  private held: HeldLease | undefined;
  /** Counts releases: an answer that comes after one grants nothing. */
  private releases = 0;
  private releasing = false;
  private seenVersion = -1;
  private seenMs = 0;
  /** The row as this holder wrote it last; absent where that is in doubt. */
  private writtenRow: Row | undefined;

  constructor(private readonly options: LeaseOptions) {}

  /** Returns the lease while it is certainly held. */
  getHeld(): HeldLease | undefined {
    const held = this.held;
    const {clock} = this.options;
    if (held === undefined || clock.monotonicMs() >= held.untilMs) {
      return undefined;
    }
    return clock.now().getTime() < held.untilTimeOfDayMs ? held : undefined;
  }

  /**
   * Renews the lease, or takes it if nobody holds it. Call it several times
   * per duration.
   * @returns The lease, if it is held now.
   */
  async claim(): Promise<HeldLease | undefined> {
    if (this.releasing) {
      return undefined;
    }
    const key = PREFIX + this.options.role;
    const {releases} = this;
    const found = await this.findRow(key);
    if (found.isErr) {
      return this.getHeld();
    }
    const row = found.value;
    const current = row?.value as LeaseRow | undefined;
    const own = current?.holder === this.options.holder;
    const gone = current !== undefined && this.isOwnMachine(current.holder);
    if (row !== undefined && !own && !gone && !this.hasLapsed(row)) {
      this.held = undefined;
      return undefined;
    }
    await this.write(key, row, current, releases);
    return this.getHeld();
  }

  /** Reads who holds the lease, as the table says; nothing where nobody does. */
  async readHolder(): Promise<string | undefined> {
    const found = await this.options.table.get(PREFIX + this.options.role);
    const row = found.unwrapOr(undefined)?.value as LeaseRow | undefined;
    return row === undefined || row.holder === '' ? undefined : row.holder;
  }

  /** A holder knows the row as long as nobody else writes it: it need not read it. */
  private async findRow(
    key: string,
  ): Promise<Result<Row | undefined, TableFailure>> {
    const known = this.writtenRow;
    this.writtenRow = undefined;
    return known !== undefined && this.getHeld() !== undefined
      ? Result.ok(known)
      : this.options.table.get(key);
  }

  /** Gives the lease up, so that another host can take it at once. */
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

  private async write(
    key: string,
    row: Row | undefined,
    current: LeaseRow | undefined,
    releases: number,
  ): Promise<void> {
    const {clock, holder, table, durationMs, judge} = this.options;
    if (releases !== this.releases) {
      return;
    }
    const own = current?.holder === holder;
    const previous = current?.fence ?? 0;
    // A lapsed lease of one's own is a new one: others may have been told so.
    const renews = own && this.getHeld() !== undefined;
    const next: LeaseRow = {
      holder,
      fence: renews ? previous : previous + 1,
      former: listFormer(current, holder),
      beat: (current?.beat ?? 0) + 1,
    };
    const sentMs = clock.monotonicMs();
    const sentTimeOfDayMs = clock.now().getTime();
    const written = await table.transact([
      {kind: StepKind.PUT, key, ifVersion: row?.version ?? ABSENT, value: next},
    ]);
    if (releases !== this.releases) {
      return;
    }
    if (written.isOk) {
      const version = written.value.versions[key];
      this.writtenRow =
        version === undefined ? undefined : {key, version, value: next};
      const startMs = judge?.(sentMs, clock.monotonicMs()) ?? sentMs;
      this.held = {
        fence: next.fence,
        isReturn: this.isReturn(next.former ?? []),
        untilMs: startMs + durationMs,
        untilTimeOfDayMs: sentTimeOfDayMs + (startMs - sentMs) + durationMs,
      };
      return;
    }
    if (written.error.kind === TableFailureKind.CONFLICT) {
      this.held = undefined;
    }
  }

  private isOwnMachine(holder: string): boolean {
    const {isOwnMachine, holder: own} = this.options;
    return holder === own || isOwnMachine?.(holder) === true;
  }

  /** The latest holder before may be this machine; one further back is not. */
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

  /** Tells whether a row was watched unchanged for long enough. */
  private hasLapsed(row: Row): boolean {
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
  // A lease that was given up names no holder.
  const last = current.holder === '' ? [] : [current.holder];
  return [...last, ...former].slice(0, MAX_FORMER);
}
