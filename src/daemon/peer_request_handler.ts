import {ConfigurationStore} from '../configuration/index.js';
import {
  Generation,
  GenerationRunner,
  GenerationStore,
} from '../generation/index.js';
import {Bookkeeper} from '../journal/index.js';
import {Log} from '../log/index.js';
import {PeerIdentity} from '../peer/index.js';
import {fromCallMessage} from '../service/index.js';
import {Clock} from '../time/index.js';
import {
  fromGenerationRecord,
  GenerationRecord,
  toGenerationRecord,
} from './generation_record.js';
import {Heartbeats} from './heartbeats.js';
import {PeerMessage, peerMessageSchema} from './peer_message.js';

/** Dependencies of the handler for requests of peers. */
export interface PeerRequestHandlerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly configuration: ConfigurationStore;
  readonly bookkeeper: Bookkeeper;
  readonly heartbeats: Heartbeats;
  readonly store: GenerationStore;
  readonly runner: GenerationRunner;
  /** Starts or ends the drain of this host. */
  readonly setDrained: (on: boolean) => void;
}

/** Handles the requests that peers send to this host. */
export class PeerRequestHandler {
  constructor(private readonly options: PeerRequestHandlerOptions) {}

  /**
   * Handles one request.
   * @param request - The decoded frame; not yet validated.
   * @param from - Peer that sent it.
   * @param sendPart - Sends a partial reply ahead of the final one.
   * @param signal - Aborted when the peer no longer needs the reply.
   * @returns The body of the reply.
   * @throws Error - When the frame matches no known message.
   */
  async handle(
    request: unknown,
    from: PeerIdentity,
    sendPart: (part: unknown) => void,
    signal: AbortSignal,
  ): Promise<unknown> {
    const parsed = peerMessageSchema.safeParse(request);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      throw new Error(
        `the request matches no message known to this release (${issue?.path.join('.')}: ${issue?.message}); finish the upgrade of all hosts`,
      );
    }
    return this.serve(parsed.data, from, sendPart, signal);
  }

  private async serve(
    message: PeerMessage,
    from: PeerIdentity,
    sendPart: (part: unknown) => void,
    signal: AbortSignal,
  ): Promise<unknown> {
    const {bookkeeper, clock, configuration, heartbeats} = this.options;
    switch (message.kind) {
      case 'heartbeat':
        return heartbeats.acknowledge({...message.status, ...from});
      case 'pull-configuration':
        return configuration.getDelta(message.after);
      case 'run-call': {
        const order = fromCallMessage(message.call, clock.monotonicMs());
        return bookkeeper.run(message.call.book, order);
      }
      case 'get-outcome': {
        const {book, entryKey} = message;
        return {outcome: await bookkeeper.getOutcome(book, entryKey)};
      }
      case 'take-book':
        return {taken: bookkeeper.receiveBook(message.book)};
      case 'late-outcome':
        return {
          taken: bookkeeper.addLateOutcome(message.book, message.entry),
        };
      case 'take-generation':
        this.receiveGeneration(message.generation, from.host);
        return {taken: true};
      case 'read-generation':
        return this.readGeneration(message, sendPart, signal);
      case 'drain':
        this.options.setDrained(message.on);
        return {};
    }
  }

  private receiveGeneration(record: GenerationRecord, from: string): void {
    const {clock, log, store, runner} = this.options;
    const generation = fromGenerationRecord(record, clock.monotonicMs());
    const stop = store.add(generation);
    log.info('generation_received', {
      request: record.id,
      from,
      tokens: record.texts.length,
    });
    void runner.run(generation, stop.signal);
  }

  private async readGeneration(
    message: {id: string; customer: string; from: number},
    sendPart: (part: unknown) => void,
    signal: AbortSignal,
  ): Promise<unknown> {
    const {clock} = this.options;
    const generation = this.findGeneration(message.id, message.customer);
    if (generation === undefined) {
      return {found: false};
    }
    const nowMs = clock.monotonicMs();
    sendPart({
      kind: 'head',
      record: {...toGenerationRecord(generation, nowMs), texts: []},
    });
    const events = generation.read(message.from, signal, () =>
      clock.monotonicMs(),
    );
    for await (const event of events) {
      sendPart(event);
    }
    return {found: true};
  }

  private findGeneration(id: string, customer: string): Generation | undefined {
    const generation = this.options.store.get(id);
    return generation?.request.customer === customer ? generation : undefined;
  }
}
