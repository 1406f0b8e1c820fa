import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {Entry} from './entry.js';

/** What the delivery works with. */
export interface OutcomeDeliveryOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Hands an outcome to the book if it is held here; tells whether it is. */
  readonly addHere: (book: string, entry: Entry) => boolean;
  /** Returns the other host that holds a book, as far as is known. */
  readonly getOtherHolder: (book: string) => string | undefined;
  /** Passes an outcome to another host; resolves to its receipt. */
  readonly send: (host: string, book: string, entry: Entry) => Promise<boolean>;
  /** Pause between two attempts, in milliseconds. */
  readonly retryMs: number;
}

const ATTEMPTS = 40;

/**
 * Brings outcomes that could not be recorded here to the hosts that hold their
 * books by now, so that they do not stay unknown.
 */
export class OutcomeDelivery {
  private underWay = 0;

  constructor(private readonly options: OutcomeDeliveryOptions) {}

  /** Number of outcomes on their way. */
  countUnderWay(): number {
    return this.underWay;
  }

  /**
   * Delivers an outcome; tries again while the holder is not known or reached.
   * @param book - Name of the book.
   * @param entry - The entry with what is known of it.
   */
  async deliver(book: string, entry: Entry): Promise<void> {
    this.underWay++;
    const delivered = await this.tryDeliver(book, entry);
    this.underWay--;
    if (!delivered) {
      this.options.log.warn('outcome_not_delivered', {
        book,
        request: entry.requestId,
        state: entry.state,
      });
    }
  }

  private async tryDeliver(book: string, entry: Entry): Promise<boolean> {
    const {addHere, clock, getOtherHolder, retryMs, send} = this.options;
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      if (addHere(book, entry)) {
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
