import {Rollout} from './rollout.js';
import {
  mergeVersionCounts,
  subtractVersionCounts,
  VersionCounts,
} from './version_counts.js';

/** Counts as they stood at one moment. */
interface Snapshot {
  readonly atMs: number;
  readonly counts: readonly VersionCounts[];
}

/** Span of which recent counts are, in milliseconds. */
const RECENT_MS = 3000;

/** A roll-out as the holder of its duty knows it. */
export class ActiveRollout {
  /** Share of the requests that go to the new version now. */
  share = 0;
  /** Why the version was found bad, until that is written; absent before. */
  condemned: string | undefined;
  /** Last counts of each start of a host, this one included. */
  private readonly counts = new Map<string, readonly VersionCounts[]>();
  private snapshots: Snapshot[] = [];

  /**
   * @param rollout - The roll-out as it is written.
   * @param version - Version of its row.
   * @param sinceMs - Since when this host holds the duty, monotonic milliseconds.
   */
  constructor(
    public rollout: Rollout,
    public version: number,
    readonly sinceMs: number,
  ) {}

  /** Takes in what a host has counted since its start; the last word counts. */
  setCounts(origin: string, counts: readonly VersionCounts[]): void {
    this.counts.set(origin, counts);
  }

  /** Returns the counts of all hosts, by version and route. */
  sum(): VersionCounts[] {
    return mergeVersionCounts([...this.counts.values()].flat());
  }

  /**
   * Returns what was counted in the last seconds.
   * @param nowMs - Monotonic milliseconds.
   * @param counts - What `sum` returns now.
   */
  sumRecent(nowMs: number, counts: readonly VersionCounts[]): VersionCounts[] {
    this.snapshots.push({atMs: nowMs, counts});
    this.snapshots = this.snapshots.filter(
      ({atMs}) => nowMs - atMs <= RECENT_MS,
    );
    return subtractVersionCounts(counts, this.snapshots[0]?.counts ?? []);
  }
}
