import {Log} from '../log/index.js';
import {
  ABSENT,
  getVersionEra,
  Row,
  Step,
  StepKind,
  TableService,
} from '../table/index.js';

/** Dependencies of `DecidableWindows`. */
export interface DecidableWindowsOptions {
  readonly table: TableService;
  readonly log: Log;
}

/** Windows whose counts may be decided in the current era of the table. */
export interface WindowRange {
  /** First of these windows. Earlier ones may have been reported, and the report lost. */
  readonly first: number;
  /** Condition of a write that decides: fails once the table was restored from a copy. */
  readonly condition: Step;
}

/** Table row of the first window that may be decided. */
interface RangeRow {
  /** Era of the table for which it was written. */
  readonly era: number;
  readonly first: number;
}

const KEY = 'usage-range';

/**
 * Finds the windows of which certainly no counts were reported that the table has lost.
 *
 * Counts are written to the table before they are sent. A table that was restored from a
 * copy may lack them, and all hosts that know them may have been killed. Only a window that
 * could not be decided yet when the table was restored, or when this host gained the duty, is
 * certainly open then. The first holder in each era of the table writes that window to it,
 * and nothing is decided in that era before.
 */
export class DecidableWindows {
  private era: number | undefined;
  /** The first window that could not be decided when this host learned of the era. */
  private firstOfEra = 0;
  private fence: number | undefined;
  /** The first window that could not be decided when this host gained the duty. */
  private firstOfDuty = 0;
  private row: Row | undefined;

  constructor(private readonly options: DecidableWindowsOptions) {}

  /**
   * Records the era of the table, and whether this host holds the duty. Call this at short
   * intervals, at every host.
   * @param next - First window that no host can have decided yet.
   * @param fence - Fencing number of this host; `undefined` if it may not act. A lease that
   *   ends in between has another one when it is gained again.
   */
  update(next: number, fence: number | undefined): void {
    const era = this.options.table.getEra();
    if (era !== this.era) {
      this.era = era;
      this.firstOfEra = next;
    }
    if (fence !== undefined && fence !== this.fence) {
      this.fence = fence;
      this.firstOfDuty = next;
    }
  }

  /**
   * Returns the windows that may be decided; writes their row if this era has none.
   * @param fence - Fencing number under which the caller may act now.
   * @returns The windows; `undefined` if they are not known now.
   */
  async find(fence: number): Promise<WindowRange | undefined> {
    const {table} = this.options;
    if (
      this.row === undefined ||
      getVersionEra(this.row.version) !== table.getEra()
    ) {
      this.row = await this.readOrWrite(fence);
    }
    if (this.row === undefined) {
      return undefined;
    }
    const {key, version, value} = this.row;
    const condition = {kind: StepKind.CHECK, key, ifVersion: version};
    return {first: (value as RangeRow).first, condition};
  }

  private async readOrWrite(fence: number): Promise<Row | undefined> {
    const {table, log} = this.options;
    const found = await table.get(KEY);
    const era = table.getEra();
    if (found.isErr || era === undefined) {
      return undefined;
    }
    const row = found.value;
    const current = row?.value as RangeRow | undefined;
    if (current?.era === era) {
      return row;
    }
    if (fence !== this.fence || era !== this.era) {
      return undefined;
    }
    const {firstOfEra, firstOfDuty} = this;
    // A table that was never restored has lost nothing.
    const first = era === 0 ? 0 : Math.min(firstOfEra, firstOfDuty);
    const value: RangeRow = {era, first};
    const written = await table.transact([
      {kind: StepKind.PUT, key: KEY, ifVersion: row?.version ?? ABSENT, value},
    ]);
    const version = written.unwrapOr(undefined)?.versions[KEY];
    if (version === undefined) {
      return undefined;
    }
    log.info('usage_range_written', {era, first, era_before: current?.era});
    return {key: KEY, version, value};
  }
}
