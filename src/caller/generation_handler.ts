import {z} from 'zod';
import {UsageCounter} from '../admission/index.js';
import {
  estimateTokens,
  GenerationFormat,
  getPromptText,
} from '../backend/index.js';
import {Deployment} from '../configuration/index.js';
import {Problem, problems, ProblemError} from '../errors/index.js';
import {
  Generation,
  GenerationRequest,
  GenerationRunner,
  GenerationStore,
} from '../generation/index.js';
import {
  CallerContext,
  CallerRequest,
  findDeployment,
  isProblem,
} from './caller_context.js';
import {createHead, toCompletion} from './completion_format.js';
import {GenerationAdmission} from './generation_admission.js';
import {readTimeoutMs, readUrgency} from './request_headers.js';
import {REQUEST_ID_HEADER, sendProblem} from './send_problem.js';
import {streamGeneration} from './stream_generation.js';

/** Dependencies of the handler in addition to the common context. */
export interface GenerationHandlerOptions {
  readonly runner: GenerationRunner;
  readonly store: GenerationStore;
  readonly usage: UsageCounter;
  readonly admission: GenerationAdmission;
}

const MAX_TOKENS = 1_000_000;

const bodySchema = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  n: z.literal(1, 'only 1 is supported').nullish(),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS).nullish(),
  max_completion_tokens: z.number().int().min(1).max(MAX_TOKENS).nullish(),
});

const chatSchema = bodySchema.extend({
  messages: z
    .array(z.looseObject({role: z.string(), content: z.unknown()}))
    .min(1),
});

const textSchema = bodySchema.extend({prompt: z.string()});

/** Fields of a completion request that this system interprets. */
type CompletionBody = z.output<typeof bodySchema>;

/** Handles requests for chat and text completions. */
export class GenerationHandler {
  constructor(
    private readonly context: CallerContext,
    private readonly options: GenerationHandlerOptions,
  ) {}

  /**
   * Handles one request. Resolves once the response is complete or the caller has
   * disconnected.
   * @param caller - The request.
   * @param format - Wire format of the body and the response.
   * @throws ProblemError - When the request is not admitted.
   */
  async handle(caller: CallerRequest, format: GenerationFormat): Promise<void> {
    const body = parseBody(caller.request.body as Buffer, format);
    const [name = '', adapter = ''] = body.model.split(':');
    const deployment = findDeployment(caller, name, 'model');
    if (isProblem(deployment)) {
      throw new ProblemError(deployment);
    }
    const request = this.createRequest(
      caller,
      deployment,
      adapter,
      body,
      format,
    );
    const generation = new Generation(
      request,
      [],
      this.context.clock.monotonicMs(),
    );
    this.admit(caller, deployment, generation);
    const release = this.options.usage.add(caller.customer.name);
    const stop = this.options.store.add(generation);
    void this.options.runner.run(generation, stop.signal).finally(release);
    const answer = {caller, generation, model: body.model};
    const problem =
      body.stream === true
        ? await this.sendStream(answer)
        : await this.sendCompletion(answer);
    this.countOutcome(deployment, problem);
  }

  private createRequest(
    caller: CallerRequest,
    deployment: Deployment,
    adapter: string,
    body: CompletionBody,
    format: GenerationFormat,
  ): GenerationRequest {
    const {limits, clock} = this.context;
    const timeout = readTimeoutMs(
      caller.request,
      limits.generationTimeoutMs,
      limits.maxTimeoutMs,
    );
    const urgency = readUrgency(caller.request, deployment, caller.customer);
    if (timeout.isErr) {
      throw new ProblemError(timeout.error);
    }
    if (urgency.isErr) {
      throw new ProblemError(urgency.error);
    }
    return {
      id: this.context.mintId(),
      customer: caller.customer.name,
      deployment: deployment.name,
      adapter,
      format,
      body,
      urgency: urgency.value,
      deadlineMs: clock.monotonicMs() + timeout.value,
    };
  }

  private admit(
    caller: CallerRequest,
    deployment: Deployment,
    generation: Generation,
  ): void {
    if (this.context.isRefusing()) {
      throw new ProblemError(problems.hostDraining());
    }
    const {view} = caller;
    const refusal = this.options.admission.decide(view, deployment, generation);
    if (refusal !== undefined) {
      throw new ProblemError(refusal);
    }
  }

  private sendStream(answer: GenerationAnswer): Promise<Problem | undefined> {
    const {caller, generation, model} = answer;
    const {clock} = this.context;
    const disconnected = new AbortController();
    caller.response.on('close', () => disconnected.abort());
    return streamGeneration(
      caller.response,
      createHead(generation, model, clock.now()),
      generation.read(0, disconnected.signal, () => clock.monotonicMs()),
    );
  }

  private async sendCompletion(
    answer: GenerationAnswer,
  ): Promise<Problem | undefined> {
    const {caller, generation, model} = answer;
    const {clock} = this.context;
    const disconnected = new AbortController();
    caller.response.on('close', () => disconnected.abort());
    const head = createHead(generation, model, clock.now());
    const events = generation.read(0, disconnected.signal, () =>
      clock.monotonicMs(),
    );
    for await (const event of events) {
      if (event.kind === 'failed') {
        sendProblem(caller.response, event.problem, head.id);
        return event.problem;
      }
      if (event.kind === 'finished') {
        const prompt = getPromptText(generation.request.body);
        caller.response
          .setHeader(REQUEST_ID_HEADER, head.id)
          .json(
            toCompletion(
              head,
              generation.getTexts(),
              event.reason,
              estimateTokens(prompt),
            ),
          );
      }
    }
    return undefined;
  }

  private countOutcome(
    deployment: Deployment,
    problem: Problem | undefined,
  ): void {
    this.context.metrics.increment('generations_total', {
      deployment: deployment.name,
      outcome: problem === undefined ? 'answered' : problem.kind,
    });
  }
}

/** A generation and the request that it answers. */
interface GenerationAnswer {
  readonly caller: CallerRequest;
  readonly generation: Generation;
  /** Value of the field "model" in the request. */
  readonly model: string;
}

function parseBody(raw: Buffer, format: GenerationFormat): CompletionBody {
  let document: unknown;
  try {
    document = JSON.parse(raw.toString('utf8'));
  } catch {
    throw new ProblemError(problems.bodyInvalid('it is not JSON'));
  }
  const schema = format === GenerationFormat.CHAT ? chatSchema : textSchema;
  const parsed = schema.safeParse(document);
  if (!parsed.success) {
    const mistakes = parsed.error.issues.map(
      issue => `${issue.path.join('.') || 'body'}: ${issue.message}`,
    );
    throw new ProblemError(problems.bodyInvalid(mistakes.join('; ')));
  }
  return parsed.data;
}
