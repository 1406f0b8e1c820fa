import {problems, Refusal} from '../errors/index.js';
import {
  Generation,
  GenerationEvent,
  GenerationStore,
} from '../generation/index.js';
import {isMintedKey} from '../journal/index.js';
import {OnceCalls} from '../service/index.js';
import {getKeyOfCallId} from './call_id.js';
import {CallerContext, CallerRequest} from './caller_context.js';
import {createHead, toCompletion} from './completion_format.js';
import {sendProblem} from './send_problem.js';
import {sendOutcome} from './service_handler.js';
import {streamGeneration} from './stream_generation.js';

/** A generation on another host, as it is read from there. */
export interface RemoteGeneration {
  /** Head of its answer, without the events. */
  readonly generation: Generation;
  readonly events: AsyncIterable<GenerationEvent>;
}

/** What the handler works with besides the common context. */
export interface RequestHandlerOptions {
  readonly store: GenerationStore;
  readonly calls: OnceCalls;
  /** Reads a generation from the host that runs it; `undefined` if none does. */
  readonly readRemote: (
    id: string,
    customer: string,
    from: number,
    signal: AbortSignal,
  ) => Promise<RemoteGeneration | undefined>;
}

/** Serves answers that are asked for again, by the id of their request. */
export class RequestHandler {
  constructor(
    private readonly context: CallerContext,
    private readonly options: RequestHandlerOptions,
  ) {}

  /**
   * Tells what came of a request.
   * @param caller - The request that asks.
   * @param id - Id of the request asked for.
   */
  async handleOutcome(caller: CallerRequest, id: string): Promise<void> {
    const generation = await this.findGeneration(caller, id, 0);
    if (generation !== undefined) {
      await this.sendGeneration(caller, generation);
      return;
    }
    const outcome = await this.options.calls.getOutcome(
      caller.customer.name,
      getKeyOfCallId(id),
    );
    if (outcome === undefined) {
      throw new Refusal(problems.requestUnknown(id));
    }
    sendOutcome(caller.response, outcome, id);
  }

  /**
   * Streams a generation from after the last event its caller has seen.
   * @param caller - The request that asks.
   * @param id - Id of the generation.
   */
  async handleEvents(caller: CallerRequest, id: string): Promise<void> {
    const from = readResumePosition(caller.request.header('last-event-id'), id);
    const found = await this.findGeneration(caller, id, from);
    if (found === undefined) {
      throw new Refusal(problems.requestUnknown(id));
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
  ): Promise<RemoteGeneration | undefined> {
    if (!isMintedKey(id)) {
      return undefined;
    }
    const gone = new AbortController();
    caller.response.on('close', () => gone.abort());
    const generation = this.options.store.get(id);
    if (generation === undefined) {
      const {name} = caller.customer;
      return this.options.readRemote(id, name, from, gone.signal);
    }
    if (generation.request.customer !== caller.customer.name) {
      return undefined;
    }
    const {clock} = this.context;
    const events = generation.read(from, gone.signal, () =>
      clock.monotonicMs(),
    );
    return {generation, events};
  }

  private async sendGeneration(
    caller: CallerRequest,
    found: RemoteGeneration,
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
    throw new Refusal(
      problems.headerInvalid('Last-Event-ID', `the id of an event of ${id}`),
    );
  }
  return Number(position) + 1;
}
