import {Clock} from '../time/index.js';
import {StreamOrigin} from './stream_origin.js';

/** A stream, by the id of the request that brought its first event. */
export interface BegunStream extends StreamOrigin {
  readonly id: string;
}

interface KnownOrigin {
  readonly origin: StreamOrigin;
  /** When it was added last, monotonic milliseconds. */
  readonly addedMs: number;
  /** Whether this host relayed the stream. */
  readonly isOwn: boolean;
}

/** Longest name that is kept and sent to other hosts; callers choose the ids of requests. */
export const MAX_NAME_LENGTH = 200;
/**
 * Largest number of streams that are kept, about 10 MB. A host of the size planned for begins
 * 40 streams a second, and the aggregators of a data centre are told of 560.
 */
const MAX_STREAMS = 65_536;

/** The origins of the streams that began lately, at this host or at others. */
export class StreamOrigins {
  /** By the id of the request that brought the first event; the oldest first. */
  private readonly origins = new Map<string, KnownOrigin>();

  /**
   * @param clock - Measures the age of streams.
   * @param getLifeMs - Returns the time for which a stream can be taken up, in milliseconds.
   */
  constructor(
    private readonly clock: Clock,
    private readonly getLifeMs: () => number,
  ) {}

  /**
   * Adds a stream, unless a name of it is too long.
   * @param isOwn - Whether this host relayed it.
   * @returns Whether it was added.
   */
  add({id, service, version}: BegunStream, isOwn: boolean): boolean {
    const isTooLong = [id, service, version].some(
      ({length}) => length > MAX_NAME_LENGTH,
    );
    if (isTooLong) {
      return false;
    }
    const addedMs = this.clock.monotonicMs();
    this.origins.delete(id);
    this.origins.set(id, {origin: {service, version}, addedMs, isOwn});
    this.trim();
    return true;
  }

  /** Returns the origin of a stream; absent if it is not known. */
  get(id: string): StreamOrigin | undefined {
    const known = this.origins.get(id);
    return known === undefined || this.isExpired(known)
      ? undefined
      : known.origin;
  }

  /** Lists the streams of a service that this host relayed. */
  listOwn(service: string): BegunStream[] {
    const listed: BegunStream[] = [];
    for (const [id, known] of this.origins) {
      const {origin, isOwn} = known;
      if (isOwn && origin.service === service && !this.isExpired(known)) {
        listed.push({id, ...origin});
      }
    }
    return listed;
  }

  /** Returns the number of streams that are kept. */
  count(): number {
    return this.origins.size;
  }

  private trim(): void {
    for (const [id, known] of this.origins) {
      if (this.origins.size <= MAX_STREAMS && !this.isExpired(known)) {
        return;
      }
      this.origins.delete(id);
    }
  }

  private isExpired({addedMs}: KnownOrigin): boolean {
    return this.clock.monotonicMs() - addedMs > this.getLifeMs();
  }
}
