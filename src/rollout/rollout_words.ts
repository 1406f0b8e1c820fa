import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {isFinal} from './rollout.js';
import {RolloutWord} from './rollout_word.js';

/** A word, and when it came. */
interface HeardWord {
  readonly word: RolloutWord;
  readonly heardMs: number;
}

/**
 * Age at which word of a running roll-out counts no more, in milliseconds: a host that
 * hears nothing sends the new version nothing, so that a holder which is gone need not
 * be told of.
 */
const FRESH_MS = 2000;

/** What this host was told last of each service's roll-out. */
export class RolloutWords {
  private readonly heard = new Map<string, HeardWord>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /**
   * Takes in a word; one of an earlier order or holder changes nothing, nor does one
   * that would begin again what has ended.
   */
  add(word: RolloutWord): void {
    const known = this.heard.get(word.service)?.word;
    if (known !== undefined && !isLater(word, known)) {
      return;
    }
    if (known?.share !== word.share || known.state !== word.state) {
      const {service, from, to, state, share, fence} = word;
      this.log.info('rollout_word', {service, from, to, state, share, fence});
    }
    const heardMs = this.clock.monotonicMs();
    this.heard.set(word.service, {word, heardMs});
  }

  /** Returns the last word of an order, however old. */
  get(service: string, order: number): RolloutWord | undefined {
    const word = this.heard.get(service)?.word;
    return word?.order === order ? word : undefined;
  }

  /** Tells whether the last word of a service's roll-out still counts. */
  isFresh(service: string): boolean {
    const heardMs =
      this.heard.get(service)?.heardMs ?? Number.NEGATIVE_INFINITY;
    return this.clock.monotonicMs() - heardMs <= FRESH_MS;
  }
}

function isLater(word: RolloutWord, known: RolloutWord): boolean {
  if (word.order !== known.order) {
    return word.order > known.order;
  }
  return !isFinal(known) && word.fence >= known.fence;
}
