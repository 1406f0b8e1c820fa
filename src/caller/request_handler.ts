import {problems, ProblemError} from '../errors/index.js';
import {
  Generation,
  GenerationEvent,
  GenerationStore,
} from '../generation/index.js';
import {isMintedKey} from '../journal/index.js';
import {AtMostOnceCalls} from '../service/index.js';
import {getKeyFromCallId} from './call_id.js';
import {CallerContext, CallerRequest} from './caller_context.js';
import {createHead, toCompletion} from './completion_format.js';
import {sendProblem} from './send_problem.js';
import {sendOutcome} from './service_handler.js';
import {streamGeneration} from './stream_generation.js';

/** A generation on this or another host, with its events. */
export interface ReadableGeneration {
  /** The generation; if it runs on another host, a local copy that follows it. */
  readonly generation: Generation;
  /** Events from the requested position on. */
  readonly events: AsyncIterable<GenerationEvent>;
}

/** Dependencies of the handler in addition to the common context. */
export interface RequestHandlerOptions {
  readonly store: GenerationStore;
  readonly calls: AtMostOnceCalls;
  /** Reads a generation from the host that runs it; `undefined` if no other host has it. */
  readonly readRemote: (
    id: string,
    customer: string,
    from: number,
    signal: AbortSignal,
  ) => Promise<ReadableGeneration | undefined>;
}

/** Returns outcomes and events of earlier requests by request id. */
export class RequestHandler {
  constructor(
    private readonly context: CallerContext,
    private readonly options: RequestHandlerOptions,
  ) {}

  /**
   * Sends the outcome of an earlier request; for a generation that is still
   * running, waits until it ends.
   * @param caller - The current request.
   * @param id - Id of the earlier request.
   * @throws ProblemError - When no request of this customer has the id.
   */
  async handleOutcome(caller: CallerRequest, id: string): Promise<void> {
    const generation = await this.findGeneration(caller, id, 0);
    if (generation !== undefined) {
      await this.sendGeneration(caller, generation);
      return;
    }
    const outcome = await this.options.calls.getOutcome(
      caller.customer.name,
      getKeyFromCallId(id),
    );
    if (outcome === undefined) {
      throw new ProblemError(problems.requestUnknown(id));
    }
    sendOutcome(caller.response, outcome, id);
  }

  /**
   * Streams a generation from the event after `Last-Event-ID` on, or from the
   * first event without that header.
   * @param caller - The current request.
   * @param id - Id of the generation.
   * @throws ProblemError - When the header is invalid or the generation is unknown.
   */
  async handleEvents(caller: CallerRequest, id: string): Promise<void> {
    const from = readResumePosition(caller.request.header('last-event-id'), id);
    const found = await this.findGeneration(caller, id, from);
    if (found === undefined) {
      throw new ProblemError(problems.requestUnknown(id));
    }
    const {generation, events} = found;
    const head = createHead(
      generation,
      generation.request.deployment,
      this.context.clock.now(),
    );
    await streamGeneration(caller.response, head, events);
  }

  private async findGeneration(
    caller: CallerRequest,
    id: string,
    from: number,
  ): Promise<ReadableGeneration | undefined> {
    if (!isMintedKey(id)) {
      return undefined;
    }
    const disconnected = new AbortController();
    caller.response.on('close', () => disconnected.abort());
    const generation = this.options.store.get(id);
    if (generation === undefined) {
      const {name} = caller.customer;
      return this.options.readRemote(id, name, from, disconnected.signal);
    }
    if (generation.request.customer !== caller.customer.name) {
      return undefined;
    }
    const {clock} = this.context;
    const events = generation.read(from, disconnected.signal, () =>
      clock.monotonicMs(),
    );
    return {generation, events};
  }

  private async sendGeneration(
    caller: CallerRequest,
    found: ReadableGeneration,
  ): Promise<void> {
    const {generation} = found;
    const texts: string[] = [];
    const head = createHead(
      generation,
      generation.request.deployment,
      this.context.clock.now(),
    );
    for await (const event of found.events) {
      if (event.kind === 'token') {
        texts.push(event.text);
      } else if (event.kind === 'failed') {
        sendProblem(caller.response, event.problem, head.id);
      } else {
        caller.response.json(toCompletion(head, texts, event.reason, 0));
      }
    }
  }
}

function readResumePosition(header: string | undefined, id: string): number {
  if (header === undefined) {
    return 0;
  }
  const position = header.startsWith(`${id}/`)
    ? header.slice(id.length + 1)
    : '';
  if (!/^\d{1,9}$/.test(position)) {
    throw new ProblemError(
      problems.headerInvalid('Last-Event-ID', `the id of an event of ${id}`),
    );
  }
  return Number(position) + 1;
}
