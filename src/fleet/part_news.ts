import {Clock} from '../time/index.js';
import {PromptPart} from './part_memory.js';

/** A part of a prompt that a server was sent, as hosts tell each other. */
export interface SentPart {
  readonly server: string;
  readonly part: PromptPart;
}

/** A sent part with when it was sent. */
interface DatedPart extends SentPart {
  readonly sentMs: number;
}

/** Parts shorter than this are not worth telling, in tokens. */
const MIN_TOKENS = 128;
/** Time for which a part is told, in milliseconds: one heartbeat, and a late one. */
const TOLD_MS = 600;
/** Most parts that are told at once; the latest come first. */
const MAX_TOLD = 64;

/**
 * The shared parts of prompts that this host has just sent to servers. Told to
 * peers, they send the same parts to the same servers, and none is computed
 * twice.
 */
export class PartNews {
  private sent: DatedPart[] = [];

  constructor(private readonly clock: Clock) {}

  /**
   * Notes that a prompt was sent to a server.
   * @param server - The server.
   * @param parts - Parts of the prompt; the last is the request's own.
   */
  add(server: string, parts: readonly PromptPart[]): void {
    const sentMs = this.clock.monotonicMs();
    for (const part of parts.slice(0, -1)) {
      if (part.tokens >= MIN_TOKENS) {
        this.sent.push({server, part, sentMs});
      }
    }
  }

  /** Lists what was sent of late, each part once a server. */
  list(): SentPart[] {
    const oldestMs = this.clock.monotonicMs() - TOLD_MS;
    this.sent = this.sent.filter(({sentMs}) => sentMs >= oldestMs);
    const told = new Map<string, SentPart>();
    for (const {server, part} of this.sent.toReversed()) {
      told.set(`${server}/${part.id}`, {server, part});
      if (told.size === MAX_TOLD) {
        break;
      }
    }
    return [...told.values()];
  }
}
