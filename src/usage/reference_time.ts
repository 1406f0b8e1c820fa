import {Clock} from '../time/index.js';

/** Maximum number of hosts whose offsets are kept. */
const MAX_HOSTS = 512;

/**
 * Reference time, derived from the clocks of many hosts.
 *
 * Each host measures the offset of its wall clock from the shared monotonic clock, that of
 * the table. Reference time is the shared clock plus the median of these offsets, which
 * a few hosts with a stepped wall clock do not change.
 */
export class ReferenceTime {
  /** Table's clock minus this host's monotonic clock, in milliseconds. */
  private sharedOffsetMs: number | undefined;
  private readonly offsets = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly host: string,
  ) {}

  /**
   * Adds a reading of the shared clock.
   * @param sharedMs - The reading, in milliseconds.
   * @param sentMs - When it was requested, on this host's monotonic clock.
   */
  addReading(sharedMs: number, sentMs: number): void {
    const middleMs = (sentMs + this.clock.monotonicMs()) / 2;
    this.sharedOffsetMs = sharedMs - middleMs;
    this.offsets.set(this.host, this.readOwnOffset() ?? 0);
  }

  /** Adds the offset of a peer's wall clock from the shared clock, in milliseconds. */
  addPeer(host: string, offsetMs: number): void {
    if (this.offsets.size < MAX_HOSTS || this.offsets.has(host)) {
      this.offsets.set(host, offsetMs);
    }
  }

  /** Returns this host's offset, for reports to peers; absent before the first reading. */
  readOwnOffset(): number | undefined {
    if (this.sharedOffsetMs === undefined) {
      return undefined;
    }
    const sharedMs = this.clock.monotonicMs() + this.sharedOffsetMs;
    return Math.round(this.clock.now().getTime() - sharedMs);
  }

  /** Returns the time of the shared clock; absent before the first reading. */
  readSharedMs(): number | undefined {
    return this.sharedOffsetMs === undefined
      ? undefined
      : this.clock.monotonicMs() + this.sharedOffsetMs;
  }

  /** Returns the median of the hosts' offsets; absent before the first reading. */
  getMedianOffset(): number | undefined {
    const own = this.readOwnOffset();
    if (own === undefined) {
      return undefined;
    }
    const offsets = new Map(this.offsets).set(this.host, own);
    const sorted = [...offsets.values()].sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? own;
  }

  /** Returns reference time in Unix milliseconds; the wall clock before the first reading. */
  getMs(): number {
    const sharedMs = this.readSharedMs();
    const offsetMs = this.getMedianOffset();
    return sharedMs === undefined || offsetMs === undefined
      ? this.clock.now().getTime()
      : sharedMs + offsetMs;
  }
}
