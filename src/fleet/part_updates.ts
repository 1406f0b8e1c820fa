import {Clock} from '../time/index.js';
import {PromptPart} from './part_cache.js';

/**
 * A part of a prompt that was sent to a server, as hosts report it to each
 * other.
 */
export interface SentPart {
  readonly server: string;
  readonly part: PromptPart;
}

/** A sent part with the time it was sent, in monotonic milliseconds. */
interface TimestampedPart extends SentPart {
  readonly sentMs: number;
}

/** Minimum length of a part that is reported, in tokens. */
const MIN_PART_TOKENS = 128;
/** Time for which a part is reported: one heartbeat, and a delayed one. */
const REPORT_PERIOD_MS = 600;
/** Maximum number of parts that are reported at once; the latest come first. */
const MAX_REPORTED_PARTS = 64;

/**
 * The shared parts of prompts that this host has recently sent to servers. They
 * are reported to peers, which then send the same parts to the same servers, so
 * that no part is computed twice.
 */
export class PartUpdates {
  private sent: TimestampedPart[] = [];

  constructor(private readonly clock: Clock) {}

  /**
   * Records that a prompt was sent to a server.
   * @param server - Id of the server.
   * @param parts - Parts of the prompt. The last one is specific to the request
   *   and is not reported.
   */
  add(server: string, parts: readonly PromptPart[]): void {
    const sentMs = this.clock.monotonicMs();
    for (const part of parts.slice(0, -1)) {
      if (part.tokens >= MIN_PART_TOKENS) {
        this.sent.push({server, part, sentMs});
      }
    }
  }

  /** Lists the parts that were sent recently, each once per server. */
  list(): SentPart[] {
    const oldestMs = this.clock.monotonicMs() - REPORT_PERIOD_MS;
    this.sent = this.sent.filter(({sentMs}) => sentMs >= oldestMs);
    const reported = new Map<string, SentPart>();
    for (const {server, part} of this.sent.toReversed()) {
      reported.set(`${server}/${part.id}`, {server, part});
      if (reported.size === MAX_REPORTED_PARTS) {
        break;
      }
    }
    return [...reported.values()];
  }
}
