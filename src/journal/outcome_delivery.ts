import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {Entry} from './entry.js';

/** Options of the outcome delivery. */
export interface OutcomeDeliveryOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Adds an outcome to its book if this host holds it; returns whether it does. */
  readonly addToLocalBook: (book: string, entry: Entry) => boolean;
  /** Returns the other host that holds a book, if one is known. */
  readonly getOtherHolder: (book: string) => string | undefined;
  /** Sends an outcome to another host; resolves to whether that host has taken it. */
  readonly send: (host: string, book: string, entry: Entry) => Promise<boolean>;
  /** Pause between two attempts, in milliseconds. */
  readonly retryMs: number;
}

const MAX_ATTEMPTS = 40;

/**
 * Delivers outcomes that could not be recorded by this host to the current holders
 * of their books, so that the outcomes do not stay unknown.
 */
export class OutcomeDelivery {
  private inFlightCount = 0;

  constructor(private readonly options: OutcomeDeliveryOptions) {}

  /** Returns the number of outcomes being delivered. */
  countInFlight(): number {
    return this.inFlightCount;
  }

  /**
   * Delivers an outcome; retries while the holder is unknown or cannot be reached.
   * @param book - Name of the book.
   * @param entry - The entry with its last known state.
   */
  async deliver(book: string, entry: Entry): Promise<void> {
    this.inFlightCount++;
    const delivered = await this.tryDeliver(book, entry);
    this.inFlightCount--;
    if (!delivered) {
      this.options.log.warn('outcome_not_delivered', {
        book,
        request: entry.requestId,
        state: entry.state,
      });
    }
  }

  private async tryDeliver(book: string, entry: Entry): Promise<boolean> {
    const {addToLocalBook, clock, getOtherHolder, retryMs, send} = this.options;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (addToLocalBook(book, entry)) {
        return true;
      }
      const holder = getOtherHolder(book);
      if (holder !== undefined && (await send(holder, book, entry))) {
        return true;
      }
      await clock.sleep(retryMs);
    }
    return false;
  }
}
