import {Problem} from '../errors/index.js';
import {Generation, GenerationEvent} from '../generation/index.js';
import {RemoteGeneration} from '../caller/index.js';
import {BookDirectory, getHostBook, parseMintedKey} from '../journal/index.js';
import {Peers} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {fromGenerationRecord, GenerationRecord} from './generation_record.js';

/** Longest time a caller reads a generation through another host, in ms. */
const READ_LIMIT_MS = 600_000;

/** A part of a peer's reply: the head first, then events. */
type Part =
  {readonly kind: 'head'; readonly record: GenerationRecord} | GenerationEvent;

/** Reads generations that other hosts run, for callers that came here. */
export class RemoteGenerations {
  constructor(
    private readonly host: string,
    private readonly peers: Peers,
    private readonly directory: BookDirectory,
    private readonly clock: Clock,
  ) {}

  /**
   * Reads a generation from the host that runs it.
   * @param id - Id of the generation.
   * @param customer - Customer that asks.
   * @param from - Position of the first token wanted.
   * @param signal - Ends the reading.
   * @returns The generation, or `undefined` when no host has it.
   */
  async read(
    id: string,
    customer: string,
    from: number,
    signal: AbortSignal,
  ): Promise<RemoteGeneration | undefined> {
    const holder = this.findHolder(id);
    if (holder === undefined || holder === this.host) {
      return undefined;
    }
    return new Promise(resolve => {
      let local: Generation | undefined;
      let position = from;
      const receive = (received: unknown) => {
        const part = received as Part;
        if (part.kind === 'head') {
          const nowMs = this.clock.monotonicMs();
          // Blanks stand for the tokens that the caller has seen already.
          const seen = new Array<string>(from).fill('');
          local = fromGenerationRecord({...part.record, texts: seen}, nowMs);
          const events = local.read(from, signal, () =>
            this.clock.monotonicMs(),
          );
          resolve({generation: local, events});
        } else if (part.kind === 'token' && part.position === position) {
          position++;
          local?.addToken(part.text);
        } else if (part.kind === 'finished') {
          local?.finish(part.reason);
        } else if (part.kind === 'failed') {
          local?.fail(part.problem);
        }
      };
      const body = {kind: 'read-generation', id, customer, from};
      void this.peers
        .request(holder, body, READ_LIMIT_MS, receive, signal)
        .then(reply => {
          if (reply.isErr) {
            local?.fail(interrupted(reply.error.message));
          }
          resolve(undefined);
        });
    });
  }

  private findHolder(id: string): string | undefined {
    const minted = parseMintedKey(id);
    if (minted === undefined) {
      return undefined;
    }
    const book = getHostBook(minted.host, minted.incarnation);
    return this.directory.getHolder(book);
  }
}

function interrupted(detail: string): Problem {
  return {
    kind: 'server-failed',
    status: 502,
    detail: `The host that runs the generation was lost: ${detail}.`,
    remedy: 'Ask again for the events after the last one seen.',
    ran: 'unknown',
    retryAfterSeconds: 1,
  };
}
