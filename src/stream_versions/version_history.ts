import {FleetServer} from '../fleet/index.js';
import {Clock} from '../time/index.js';

/** Dependencies of a `VersionHistory`. */
export interface VersionHistoryOptions {
  readonly clock: Clock;
  /** Returns whether a server of a service accepts work and has a version. */
  readonly hasReady: (service: string, version: string) => boolean;
  /** Returns the age of this host's knowledge of the servers, in milliseconds. */
  readonly getTableAgeMs: () => number;
  /** Returns the time for which a stream can be taken up, in milliseconds. */
  readonly getLifeMs: () => number;
  /** Whether the whole system starts for the first time, so that no stream began before. */
  readonly isFirstStart: boolean;
  /** Called when a service turns out to have servers of several versions. */
  readonly onSeveralVersions: (service: string) => void;
  /** Called when a version of a service becomes known. */
  readonly onNewVersion: () => void;
  /** Lists the versions that are stored for a service; absent if there are none. */
  readonly listRecorded: (service: string) => readonly string[] | undefined;
}

/** What a host knows of the versions of all services. */
export interface KnownVersions {
  /** By service, versions at which streams can have begun that can still be taken up. */
  readonly services: ReadonlyMap<string, readonly string[]>;
  /** Whether there were certainly no others. */
  readonly isComplete: boolean;
}

/** When servers of one version were seen, in monotonic milliseconds. */
interface SeenVersion {
  readonly firstMs: number;
  lastMs: number;
}

/**
 * Time for which a host knows a further version before it sends new streams there, in
 * milliseconds. A host whose knowledge of the servers is younger than `MAX_TABLE_AGE_MS`
 * knows the version by then, so that it does not take the other one for the only one.
 */
const ESTABLISHED_MS = 3000;
/** Largest age of the knowledge of the servers from which a version counts as the only one. */
const MAX_TABLE_AGE_MS = 2500;
/** Time in which the first reading of the servers arrives, in milliseconds. */
const FIRST_READING_MS = 100;
/**
 * Time after the first start of the system within which a host must have read the servers to
 * know all versions at which streams began, in milliseconds. Other hosts may serve by then.
 */
const FIRST_START_MS = MAX_TABLE_AGE_MS;

/** The versions that the servers of each service had for as long as streams can be taken up. */
export class VersionHistory {
  private readonly versions = new Map<string, Map<string, SeenVersion>>();
  /** When the first server became known, monotonic milliseconds; absent before. */
  private firstReadingMs: number | undefined;

  private readonly startMs: number;

  constructor(private readonly options: VersionHistoryOptions) {
    this.startMs = options.clock.monotonicMs();
  }

  /** Records that a server has registered, or that its state has changed. */
  add({service, version = ''}: FleetServer): void {
    const nowMs = this.options.clock.monotonicMs();
    this.firstReadingMs ??= nowMs;
    const seen = this.versions.get(service) ?? new Map<string, SeenVersion>();
    this.versions.set(service, seen);
    const known = seen.get(version);
    if (known !== undefined) {
      known.lastMs = nowMs;
      return;
    }
    const hadOne = this.listRecent(service).length === 1;
    seen.set(version, {firstMs: nowMs, lastMs: nowMs});
    if (hadOne) {
      this.options.onSeveralVersions(service);
    }
    this.options.onNewVersion();
  }

  /**
   * Returns whether new streams may begin at a version: it has been known for
   * `ESTABLISHED_MS`, or since the first reading of the servers.
   */
  isEstablished(service: string, version: string): boolean {
    const seen = this.versions.get(service)?.get(version);
    if (seen === undefined || this.firstReadingMs === undefined) {
      return false;
    }
    const {firstMs} = seen;
    return (
      firstMs - this.firstReadingMs <= FIRST_READING_MS ||
      this.options.clock.monotonicMs() - firstMs >= ESTABLISHED_MS
    );
  }

  /**
   * Returns the version at which all streams of a service began that can still be taken up, at
   * whichever host; absent if there were several, or if this host cannot know.
   */
  getSole(service: string): string | undefined {
    const recorded = this.options.listRecorded(service);
    const hasWitnessed = this.hasWitnessedAll();
    // The row may still list a version that this host has seen go.
    const others = hasWitnessed ? [] : (recorded ?? []);
    const versions = new Set([...this.listRecent(service), ...others]);
    const [version] = versions;
    const isComplete = hasWitnessed || recorded !== undefined;
    return isComplete && versions.size === 1 && this.isUpToDate()
      ? version
      : undefined;
  }

  /** Returns the versions of all services. */
  getKnown(): KnownVersions {
    const services = new Map<string, readonly string[]>();
    for (const service of this.versions.keys()) {
      services.set(service, this.listRecent(service));
    }
    return {services, isComplete: this.hasWitnessedAll() && this.isUpToDate()};
  }

  /** Returns whether this host knows the servers as they are now. */
  private isUpToDate(): boolean {
    return this.options.getTableAgeMs() <= MAX_TABLE_AGE_MS;
  }

  /** Returns whether this host has known the servers for as long as a stream can be taken up. */
  private hasWitnessedAll(): boolean {
    const {clock, getLifeMs} = this.options;
    const knownMs =
      clock.monotonicMs() - (this.firstReadingMs ?? Number.POSITIVE_INFINITY);
    return this.hasSeenFirstStart() || knownMs >= getLifeMs();
  }

  private hasSeenFirstStart(): boolean {
    const {startMs, firstReadingMs = Number.POSITIVE_INFINITY} = this;
    return (
      this.options.isFirstStart && firstReadingMs - startMs <= FIRST_START_MS
    );
  }

  /** Lists the versions of which a stream can still be taken up. */
  private listRecent(service: string): string[] {
    const {clock, getLifeMs, hasReady} = this.options;
    const oldestMs = clock.monotonicMs() - getLifeMs();
    const seen = this.versions.get(service) ?? new Map<string, SeenVersion>();
    for (const [version, {lastMs}] of seen) {
      if (lastMs < oldestMs && !hasReady(service, version)) {
        seen.delete(version);
      }
    }
    return [...seen.keys()];
  }
}
