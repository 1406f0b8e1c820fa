import {Clock} from '../time/index.js';

/** Hosts that are remembered with their reading of the time. */
const MAX_HOSTS = 512;

/**
 * The true time, agreed from many hosts' clocks.
 *
 * Every host measures how far its time of day is from the steady clock that all
 * share, the table's. The median of these offsets is not moved by a few hosts
 * whose time of day has stepped.
 */
export class TrueTime {
  /** Table's clock less this host's steady clock, in milliseconds. */
  private sharedOffsetMs: number | undefined;
  private readonly offsets = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly host: string,
  ) {}

  /**
   * Takes in a reading of the shared steady clock.
   * @param sharedMs - What it said.
   * @param sentMs - When it was asked, on this host's steady clock.
   */
  addReading(sharedMs: number, sentMs: number): void {
    const middleMs = (sentMs + this.clock.monotonicMs()) / 2;
    this.sharedOffsetMs = sharedMs - middleMs;
    this.offsets.set(this.host, this.readOwnOffset() ?? 0);
  }

  /** Takes in a peer's offset of the time of day from the shared clock. */
  addPeer(host: string, offsetMs: number): void {
    if (this.offsets.size < MAX_HOSTS || this.offsets.has(host)) {
      this.offsets.set(host, offsetMs);
    }
  }

  /** Returns this host's offset, to tell peers; absent before a reading. */
  readOwnOffset(): number | undefined {
    if (this.sharedOffsetMs === undefined) {
      return undefined;
    }
    const sharedMs = this.clock.monotonicMs() + this.sharedOffsetMs;
    return Math.round(this.clock.now().getTime() - sharedMs);
  }

  /** Returns the shared steady clock; absent before a reading. */
  readSharedMs(): number | undefined {
    return this.sharedOffsetMs === undefined
      ? undefined
      : this.clock.monotonicMs() + this.sharedOffsetMs;
  }

  /** Returns the usual offset, the median of the hosts'; absent before a reading. */
  getUsualOffset(): number | undefined {
    const own = this.readOwnOffset();
    if (own === undefined) {
      return undefined;
    }
    const offsets = new Map(this.offsets).set(this.host, own);
    const sorted = [...offsets.values()].sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? own;
  }

  /** Returns the true time in Unix milliseconds, as well as it is known. */
  getMs(): number {
    const sharedMs = this.readSharedMs();
    const offsetMs = this.getUsualOffset();
    return sharedMs === undefined || offsetMs === undefined
      ? this.clock.now().getTime()
      : sharedMs + offsetMs;
  }
}
