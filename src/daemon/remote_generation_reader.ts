import {Problem} from '../errors/index.js';
import {Generation, GenerationEvent} from '../generation/index.js';
import {ReadableGeneration} from '../caller/index.js';
import {BookDirectory, getHostBook, parseMintedKey} from '../journal/index.js';
import {Peers} from '../peer/index.js';
import {Clock} from '../time/index.js';
import {fromGenerationRecord, GenerationRecord} from './generation_record.js';

/** Longest time for which a generation is read from another host, in ms. */
const READ_TIMEOUT_MS = 600_000;

/** A partial reply of a peer: the head first, then events. */
type ReplyPart =
  {readonly kind: 'head'; readonly record: GenerationRecord} | GenerationEvent;

/** Reads generations that run on other hosts, for callers connected to this host. */
export class RemoteGenerationReader {
  constructor(
    private readonly host: string,
    private readonly peers: Peers,
    private readonly directory: BookDirectory,
    private readonly clock: Clock,
  ) {}

  /**
   * Reads a generation from the host that runs it.
   * @param id - Id of the generation.
   * @param customer - Customer that requests it.
   * @param from - Position of the first token to read.
   * @param signal - Aborts the read.
   * @returns The generation, or `undefined` if no other host has it.
   */
  async read(
    id: string,
    customer: string,
    from: number,
    signal: AbortSignal,
  ): Promise<ReadableGeneration | undefined> {
    const holder = this.findHolder(id);
    if (holder === undefined || holder === this.host) {
      return undefined;
    }
    return new Promise(resolve => {
      let local: Generation | undefined;
      let position = from;
      const receive = (received: unknown) => {
        const part = received as ReplyPart;
        if (part.kind === 'head') {
          const nowMs = this.clock.monotonicMs();
          // Empty texts fill the positions of tokens that the caller already has.
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
        .request(holder, body, READ_TIMEOUT_MS, receive, signal)
        .then(reply => {
          if (reply.isErr) {
            local?.fail(createReadFailure(reply.error.message));
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

function createReadFailure(detail: string): Problem {
  return {
    kind: 'server-failed',
    status: 502,
    detail: `Reading the generation from the host that runs it failed: ${detail}.`,
    remedy: 'Request the events after the last one received.',
    ran: 'unknown',
    retryAfterSeconds: 1,
  };
}
