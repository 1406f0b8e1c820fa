import {Rollout} from './rollout.js';
import {
  mergeVersionCounts,
  subtractVersionCounts,
  VersionCounts,
} from './version_counts.js';

/** Counts at one point in time. */
interface Snapshot {
  readonly atMs: number;
  readonly counts: readonly VersionCounts[];
}

/** Length of the window of recent counts, in milliseconds. */
const RECENT_WINDOW_MS = 3000;

/** State of a rollout on the host that holds its duty. */
export class ActiveRollout {
  /** Share of the requests that currently go to the new version. */
  share = 0;
  /** Why the version was judged bad; repeated until the rollback is stored. */
  rollbackReason: string | undefined;
  /** Last counts of each incarnation of a host, including this one. */
  private readonly counts = new Map<string, readonly VersionCounts[]>();
  private snapshots: Snapshot[] = [];

  /**
   * @param rollout - The rollout as stored.
   * @param version - Version of its row.
   * @param dutySinceMs - Time since which this host drives it, in monotonic milliseconds.
   */
  constructor(
    public rollout: Rollout,
    public version: number,
    readonly dutySinceMs: number,
  ) {}

  /** Sets the counts of a host since its start; they replace its earlier ones. */
  setCounts(origin: string, counts: readonly VersionCounts[]): void {
    this.counts.set(origin, counts);
  }

  /** Returns the sums of the counts of all hosts, by version and route. */
  sum(): VersionCounts[] {
    return mergeVersionCounts([...this.counts.values()].flat());
  }

  /**
   * Returns the counts of the recent window; see `RECENT_WINDOW_MS`.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param counts - The current result of `sum`.
   */
  sumRecent(nowMs: number, counts: readonly VersionCounts[]): VersionCounts[] {
    this.snapshots.push({atMs: nowMs, counts});
    this.snapshots = this.snapshots.filter(
      ({atMs}) => nowMs - atMs <= RECENT_WINDOW_MS,
    );
    return subtractVersionCounts(counts, this.snapshots[0]?.counts ?? []);
  }
}
