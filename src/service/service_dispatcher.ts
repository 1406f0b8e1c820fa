import {Attempts} from '../attempts/index.js';
import {DeliveryState, ServiceAnswer, ServiceCall} from '../backend/index.js';
import {Repeat} from '../catalog/index.js';
import {ConfigurationStore, Deployment} from '../configuration/index.js';
import {problems, ExecutionStatus} from '../errors/index.js';
import {
  CallOrder,
  DispatchKind,
  DispatchResult,
  RecordedAnswer,
} from '../journal/index.js';
import {Log} from '../log/index.js';
import {WatchedContent, WatchOptions} from '../quarantine/index.js';
import {Random} from '../random/index.js';
import {
  chooseServer,
  findCandidates,
  RetryBudget,
  RoutingDecision,
  ServerDirectory,
} from '../routing/index.js';
import {Clock} from '../time/index.js';

/** Options of the dispatcher. */
export interface ServiceDispatcherOptions extends WatchOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly configuration: ConfigurationStore;
  readonly directory: ServerDirectory;
  readonly budget: RetryBudget;
  readonly isLeaving: (server: string) => boolean;
  /** Data centre of this host, whose servers are preferred. */
  readonly dataCentre: string;
}

const MS_PER_SECOND = 1000;
const SERVER_ERROR_STATUS = 500;

/** Properties of a call that its dispatch needs. */
export type DispatchOrder = Pick<
  CallOrder,
  'requestId' | 'deployment' | 'customer' | 'call' | 'deadlineMs'
>;

/** Sends calls to the plain services of a deployment. */
export class ServiceDispatcher {
  constructor(private readonly options: ServiceDispatcherOptions) {}

  /**
   * Sends a call that may run at most once. Another server is tried only while it is
   * certain that none has received the call.
   * @param order - The call.
   */
  dispatchOnce(order: DispatchOrder): Promise<DispatchResult> {
    return this.dispatch(order, Repeat.ONCE);
  }

  /**
   * Sends a call that may run several times. Another server is tried after any
   * failure, as long as the retry budget and the deadline allow it.
   * @param order - The call.
   */
  dispatchRepeatable(order: DispatchOrder): Promise<DispatchResult> {
    return this.dispatch(order, Repeat.ANY);
  }

  /**
   * Queries the servers of a deployment for an answer that was lost.
   * @param deploymentName - The deployment.
   * @param key - Idempotency-Key with which the call was sent.
   * @returns The answer, if a server has it.
   */
  async lookUp(
    deploymentName: string,
    key: string,
  ): Promise<RecordedAnswer | undefined> {
    const deployment = this.getDeployment(deploymentName);
    const target = deployment?.target;
    if (!deployment || target?.kind !== 'service' || !target.answersLookups) {
      return undefined;
    }
    for (const server of this.listCandidates(deployment, () => false)) {
      const service = this.options.directory.getService(server);
      const found = await service?.getOutcome(key);
      if (found?.isOk === true && found.value !== undefined) {
        return toRecordedAnswer(found.value);
      }
    }
    return undefined;
  }

  private async dispatch(
    order: DispatchOrder,
    repeat: Repeat,
  ): Promise<DispatchResult> {
    const {clock, budget, directory} = this.options;
    // The attempts are limited by deadline and retry budget, not by their number.
    const attempts = new Attempts({
      repeat,
      maxRuns: Number.POSITIVE_INFINITY,
      maxUnexecuted: Number.POSITIVE_INFINITY,
      spendRetry: () => budget.spend(),
    });
    let failure: DispatchResult = {
      kind: DispatchKind.NOT_SENT,
      problem: problems.noServer(order.deployment),
    };
    const content = this.watch(order);
    budget.addRequest();
    for (;;) {
      const remainingMs = order.deadlineMs - clock.monotonicMs();
      if (remainingMs <= 0) {
        return attempts.count() === 0
          ? {
              kind: DispatchKind.NOT_SENT,
              problem: problems.deadlinePassed(ExecutionStatus.NOT_EXECUTED),
            }
          : failure;
      }
      const blockedMs = content.getRemainingBlockMs();
      if (blockedMs > 0) {
        return attempts.count() === 0
          ? refuseBlocked(content, blockedMs)
          : failure;
      }
      if (!attempts.begin()) {
        return failure;
      }
      const decision = this.choose(order, attempts.excluded);
      this.logDecision(order, decision, attempts.count() - 1);
      const server = decision.chosen?.server;
      const service = server && directory.getService(server);
      if (!server || !service) {
        return failure;
      }
      content.beginRun();
      const result = await this.send(order.call, server, remainingMs);
      if (result.kind === DispatchKind.ANSWERED) {
        if (result.answer.status < SERVER_ERROR_STATUS) {
          content.addAnswer();
        }
        return result;
      }
      if (result.kind === DispatchKind.LOST) {
        await content.addLoss(directory.getServer(server));
      }
      // Once a server may have run the call, that failure is the one to report.
      failure = failure.kind === DispatchKind.LOST ? failure : result;
      if (!attempts.recordFailure(server, result.kind === DispatchKind.LOST)) {
        return failure;
      }
    }
  }

  private watch({deployment, customer, call}: DispatchOrder): WatchedContent {
    return new WatchedContent(this.options, () => ({
      method: call.method,
      path: `${deployment}${call.path}`,
      caller: customer,
      body: call.body,
    }));
  }

  private async send(
    call: ServiceCall,
    server: string,
    remainingMs: number,
  ): Promise<DispatchResult> {
    const {clock, directory} = this.options;
    const service = directory.getService(server);
    const inFlight = directory.trackRequest(server, [], 0);
    const startMs = clock.monotonicMs();
    const answer = await service?.send(call, remainingMs);
    if (answer === undefined || answer.isErr) {
      inFlight.finish(false);
      const reach = answer?.error.deliveryState ?? DeliveryState.NOT_SENT;
      const detail = `${server}: ${answer?.error.message ?? 'not known'}`;
      this.options.log.warn('call_failed', {
        request: call.requestId,
        server,
        reach,
        detail,
      });
      return reach === DeliveryState.NOT_SENT
        ? {
            kind: DispatchKind.NOT_SENT,
            problem: {
              ...problems.serverFailed(detail),
              ran: ExecutionStatus.NOT_EXECUTED,
            },
          }
        : {kind: DispatchKind.LOST, detail};
    }
    inFlight.addFirstToken(clock.monotonicMs() - startMs, 0);
    inFlight.finish(true);
    return {
      kind: DispatchKind.ANSWERED,
      answer: toRecordedAnswer(answer.value),
    };
  }

  private choose(
    order: DispatchOrder,
    excluded: ReadonlySet<string>,
  ): RoutingDecision {
    const deployment = this.getDeployment(order.deployment);
    if (deployment === undefined) {
      return {runnersUp: [], reason: 'deployment-unknown'};
    }
    const names = this.listCandidates(deployment, this.options.isLeaving);
    const usable = names.filter(name => !excluded.has(name));
    const local = usable.filter(name => this.isInLocalDataCentre(name));
    const known = this.options.directory.listKnowledge(
      local.length > 0 ? local : usable,
      [],
    );
    const request = {promptTokens: 0, expectedTokens: 1, excluded};
    return chooseServer(request, known, this.options.random);
  }

  private listCandidates(
    deployment: Deployment,
    isLeaving: (server: string) => boolean,
  ): string[] {
    const {directory} = this.options;
    const found = findCandidates({
      deployment,
      adapter: '',
      servers: directory.listServers(),
      isLeaving,
      getLoad: () => undefined,
    });
    return found.map(server => server.name);
  }

  private isInLocalDataCentre(name: string): boolean {
    const server = this.options.configuration.getView().servers.get(name);
    return server?.dataCentre === this.options.dataCentre;
  }

  private getDeployment(name: string): Deployment | undefined {
    return this.options.configuration.getView().deployments.get(name);
  }

  private logDecision(
    order: DispatchOrder,
    decision: RoutingDecision,
    attempt: number,
  ): void {
    this.options.log.info('route', {
      request: order.requestId,
      deployment: order.deployment,
      customer: order.customer,
      attempt,
      server: decision.chosen?.server,
      runners_up:
        decision.runnersUp.map(other => other.server).join(',') || undefined,
      reason: decision.reason,
    });
  }
}

/**
 * Refuses a call that is blocked by the quarantine. Deadline and retry budget alone
 * would let a repeatable call terminate every server of its service.
 */
function refuseBlocked(
  content: WatchedContent,
  blockedMs: number,
): DispatchResult {
  return {
    kind: DispatchKind.NOT_SENT,
    problem: problems.quarantined(
      content.getName(),
      Math.ceil(blockedMs / MS_PER_SECOND),
    ),
  };
}

function toRecordedAnswer(answer: ServiceAnswer): RecordedAnswer {
  return {
    status: answer.status,
    contentType: answer.contentType,
    bodyBase64: Buffer.from(answer.body).toString('base64'),
  };
}
