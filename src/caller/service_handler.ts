import {createHash} from 'node:crypto';
import {Response} from 'express';
import {Deployment, Repeat, TargetKind} from '../configuration/index.js';
import {problems, ExecutionStatus, ProblemError} from '../errors/index.js';
import {
  CallOrder,
  CallOutcome,
  DispatchKind,
  DispatchResult,
  getEntryKey,
  isMintedKey,
  OutcomeKind,
  parseMintedKey,
  RecordedAnswer,
} from '../journal/index.js';
import {AtMostOnceCalls, ServiceDispatcher} from '../service/index.js';
import {
  CallerContext,
  CallerRequest,
  findDeployment,
  isProblem,
} from './caller_context.js';
import {getCallId} from './call_id.js';
import {
  isFirstAttempt,
  prefersAsync,
  readIdempotencyKey,
  readTimeoutMs,
} from './request_headers.js';
import {REQUEST_ID_HEADER, sendProblem} from './send_problem.js';

/** Dependencies of the handler in addition to the common context. */
export interface ServiceHandlerOptions {
  readonly calls: AtMostOnceCalls;
  readonly dispatcher: ServiceDispatcher;
  readonly mintKey: () => string;
}

const REPLAYED_HEADER = 'Sedgefall-Replayed';
const REPEATABLE_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
]);
const METHODS: ReadonlySet<string> = new Set([
  ...REPEATABLE_METHODS,
  'POST',
  'PUT',
  'PATCH',
  'DELETE',
]);

/** Handles calls of services. */
export class ServiceHandler {
  constructor(
    private readonly context: CallerContext,
    private readonly options: ServiceHandlerOptions,
  ) {}

  /**
   * Handles one call and sends its outcome.
   * @param caller - The request.
   * @param name - Name of the deployment.
   * @param path - Path and query, relative to the root of the service.
   * @throws ProblemError - When the call is not admitted.
   */
  async handle(
    caller: CallerRequest,
    name: string,
    path: string,
  ): Promise<void> {
    const deployment = findDeployment(caller, name, 'service');
    if (isProblem(deployment)) {
      throw new ProblemError(deployment);
    }
    if (!METHODS.has(caller.request.method)) {
      throw new ProblemError(problems.routeUnknown());
    }
    if (this.context.isRefusing()) {
      throw new ProblemError(problems.hostDraining());
    }
    const call = this.readCall(caller, deployment, path);
    const outcome = call.atMostOnce
      ? await this.options.calls.run(call)
      : await this.runRepeatable(call.order);
    this.context.metrics.increment('calls_total', {
      deployment: deployment.name,
      outcome: getOutcomeLabel(outcome),
    });
    sendOutcome(caller.response, outcome, call.order.requestId);
  }

  private readCall(
    caller: CallerRequest,
    deployment: Deployment,
    path: string,
  ): {
    order: CallOrder;
    key: string;
    firstAttempt: boolean;
    atMostOnce: boolean;
  } {
    const {request, customer} = caller;
    const idempotencyKey = readIdempotencyKey(request);
    const timeout = readTimeoutMs(
      request,
      this.context.limits.serviceTimeoutMs,
      this.context.limits.maxTimeoutMs,
    );
    if (idempotencyKey.isErr) {
      throw new ProblemError(idempotencyKey.error);
    }
    if (timeout.isErr) {
      throw new ProblemError(timeout.error);
    }
    const key = idempotencyKey.value ?? this.options.mintKey();
    if (isMintedKey(key) && parseMintedKey(key) === undefined) {
      throw new ProblemError(problems.keyInvalid());
    }
    const body = request.body as Buffer | undefined;
    const bodyBytes = Buffer.isBuffer(body) ? body : new Uint8Array();
    const requestId = getCallId(key);
    const order: CallOrder = {
      entryKey: getEntryKey(customer.name, key),
      requestId,
      customer: customer.name,
      deployment: deployment.name,
      fingerprint: computeFingerprint(
        deployment.name,
        request.method,
        path,
        bodyBytes,
      ),
      call: {
        requestId,
        method: request.method,
        path,
        contentType: request.header('content-type') ?? '',
        body: bodyBytes,
        key,
      },
      deadlineMs: this.context.clock.monotonicMs() + timeout.value,
      respondAsync: prefersAsync(request),
      instance: this.context.mintId(),
      copy: 0,
    };
    return {
      order,
      key,
      firstAttempt:
        idempotencyKey.value === undefined || isFirstAttempt(request),
      atMostOnce: isAtMostOnce(deployment, request.method),
    };
  }

  private async runRepeatable(order: CallOrder): Promise<CallOutcome> {
    return toOutcome(await this.options.dispatcher.dispatchRepeatable(order));
  }
}

/**
 * Sends the outcome of a call.
 * @param response - The response.
 * @param outcome - The outcome.
 * @param requestId - Id under which the outcome can be requested again.
 */
export function sendOutcome(
  response: Response,
  outcome: CallOutcome,
  requestId: string,
): void {
  switch (outcome.kind) {
    case OutcomeKind.ANSWERED:
      response.setHeader(REPLAYED_HEADER, String(outcome.replayed));
      sendAnswer(response, outcome.answer, requestId);
      return;
    case OutcomeKind.ACCEPTED:
      response.setHeader(REQUEST_ID_HEADER, requestId);
      response.setHeader('Location', `/v1/requests/${requestId}`);
      response.status(202).json({id: requestId, state: 'accepted'});
      return;
    case OutcomeKind.FAILED:
      sendProblem(response, outcome.problem, requestId);
      return;
    case OutcomeKind.MOVED: {
      const reason = 'the book of this key is being moved to another host';
      sendProblem(response, problems.outcomeUnknown(reason), requestId);
      return;
    }
  }
}

function sendAnswer(
  response: Response,
  answer: RecordedAnswer,
  requestId: string,
): void {
  response.setHeader(REQUEST_ID_HEADER, requestId);
  response.status(answer.status);
  if (answer.contentType !== '') {
    response.setHeader('Content-Type', answer.contentType);
  }
  response.end(Buffer.from(answer.bodyBase64 ?? '', 'base64'));
}

function isAtMostOnce(deployment: Deployment, method: string): boolean {
  const {target} = deployment;
  return (
    target.kind === TargetKind.SERVICE &&
    target.repeat === Repeat.NEVER &&
    !REPEATABLE_METHODS.has(method)
  );
}

function computeFingerprint(
  deployment: string,
  method: string,
  path: string,
  body: Uint8Array,
): string {
  const hash = createHash('sha256');
  hash.update(`${deployment}\n${method}\n${path}\n`);
  hash.update(body);
  return hash.digest('base64');
}

function toOutcome(result: DispatchResult): CallOutcome {
  switch (result.kind) {
    case DispatchKind.ANSWERED:
      return {
        kind: OutcomeKind.ANSWERED,
        answer: result.answer,
        replayed: false,
      };
    case DispatchKind.NOT_SENT:
      return {kind: OutcomeKind.FAILED, problem: result.problem};
    case DispatchKind.LOST:
      return {
        kind: OutcomeKind.FAILED,
        problem: {
          ...problems.serverFailed(result.detail),
          ran: ExecutionStatus.UNKNOWN,
        },
      };
  }
}

function getOutcomeLabel(outcome: CallOutcome): string {
  return outcome.kind === OutcomeKind.FAILED
    ? outcome.problem.kind
    : outcome.kind;
}
