import {Clock} from '../time/index.js';

/** Where a host fetches the rows of a table from. */
export const FetchSource = {PEER: 'peer', STORE: 'store'} as const;
export type FetchSource = (typeof FetchSource)[keyof typeof FetchSource];

/** The latest fetch of a table from one source. */
interface Fetch {
  /** When bytes last arrived, monotonic ms; `undefined` if none or the fetch has ended. */
  progressMs?: number | undefined;
  /** When the first bytes of the fetch arrived, monotonic milliseconds. */
  startMs?: number | undefined;
  /** When a fetch from this source last failed, monotonic milliseconds. */
  failedMs?: number | undefined;
}

/**
 * Time without received bytes after which a fetch no longer keeps this host from the
 * other source, in milliseconds. Two such periods and the transfer itself fit into the
 * 3 s within which a configuration must be in force.
 */
const STALL_MS = 600;
/**
 * Longest time for which a fetch keeps this host from the other source, in milliseconds:
 * half of the time of a configuration, so that the other source has the other half.
 */
const MAX_EXCLUSIVE_MS = 1500;
/**
 * Time after a failed fetch for which the progress of its source does not count, in
 * milliseconds: a source that fails again and again must not exclude the other one.
 */
const DISTRUST_MS = 3000;

/**
 * Tracks the progress of fetches, so that a host does not fetch a table from the store
 * and from peers at the same time. Only received bytes count as progress.
 */
export class FetchProgress {
  private readonly fetches = new Map<string, Fetch>();

  constructor(private readonly clock: Clock) {}

  /** Records that a part of a table's rows has arrived. */
  addProgress(table: string, source: FetchSource): void {
    const fetch = this.get(table, source);
    fetch.progressMs = this.clock.monotonicMs();
    fetch.startMs ??= fetch.progressMs;
  }

  /** Records that a fetch has ended. */
  end(table: string, source: FetchSource, succeeded: boolean): void {
    const fetch = this.get(table, source);
    fetch.progressMs = undefined;
    fetch.startMs = undefined;
    fetch.failedMs = succeeded ? undefined : this.clock.monotonicMs();
  }

  /** Returns whether a fetch of a table from a source is making progress. */
  isProgressing(table: string, source: FetchSource): boolean {
    const {progressMs, startMs, failedMs} = this.get(table, source);
    if (progressMs === undefined || startMs === undefined) {
      return false;
    }
    const nowMs = this.clock.monotonicMs();
    const isTrusted = failedMs === undefined || nowMs - failedMs > DISTRUST_MS;
    const isRecent = nowMs - progressMs < STALL_MS;
    return isTrusted && isRecent && nowMs - startMs < MAX_EXCLUSIVE_MS;
  }

  private get(table: string, source: FetchSource): Fetch {
    const key = `${source}/${table}`;
    const fetch = this.fetches.get(key) ?? {};
    this.fetches.set(key, fetch);
    return fetch;
  }
}
