import {
  estimateTokens,
  GenerationAttempt,
  getPromptText,
  hashPrefixBlocks,
  ModelEngine,
  DeliveryState,
  ServerFailure,
  Token,
} from '../backend/index.js';
import {
  ConfigurationStore,
  Deployment,
  TargetKind,
} from '../configuration/index.js';
import {problems, ExecutionStatus} from '../errors/index.js';
import {Log} from '../log/index.js';
import {WatchedContent, WatchOptions} from '../quarantine/index.js';
import {Random} from '../random/index.js';
import {
  ChooseServer,
  findCandidates,
  InFlightRequest,
  RetryBudget,
  RoutingDecision,
  ScoredServer,
  ServerDirectory,
} from '../routing/index.js';
import {Clock} from '../time/index.js';
import {AnswerLengths} from './answer_lengths.js';
import {Generation} from './generation.js';
import {GenerationMeter} from './generation_meter.js';
import {OpenedRun} from './opened_run.js';
import {RunningGenerations} from './running_generations.js';
import {TokenWatch} from './token_watch.js';
import {failBlocked, watchGeneration} from './watch_generation.js';

/** Options of the runner. */
export interface GenerationRunnerOptions extends WatchOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly configuration: ConfigurationStore;
  readonly directory: ServerDirectory;
  readonly budget: RetryBudget;
  readonly running: RunningGenerations;
  readonly meter: GenerationMeter;
  readonly lengths: AnswerLengths;
  readonly chooseServer: ChooseServer;
  /** Throws when a token must not reach the caller; see `checkToken`. */
  readonly checkToken: (token: Token, generation: Generation) => void;
  readonly isLeaving: (server: string) => boolean;
  /** Longest wait for the first token, in milliseconds. */
  readonly firstTokenTimeoutMs: number;
  /** Longest gap between tokens, in milliseconds. */
  readonly tokenTimeoutMs: number;
}

/** Input of one attempt. */
interface Attempt {
  readonly generation: Generation;
  readonly deployment: Deployment;
  readonly chosen: ScoredServer;
  readonly engine: ModelEngine;
  readonly blocks: readonly number[];
  readonly promptTokens: number;
  /** Servers on which the generation has failed. */
  readonly excluded: Set<string>;
  readonly content: WatchedContent;
  /** The run if it was begun beside the one before. */
  readonly opened: OpenedRun | undefined;
}

/** Result of an attempt. */
interface AttemptResult {
  /** Why the stream ended early; empty if it was complete. */
  readonly detail: string;
  /** Whether the generation was signalled to leave its server. */
  readonly moved: boolean;
  /** Whether it failed after the server may have received it, other than by a move. */
  readonly failedAfterSend: boolean;
  /** Server that holds the exported cache, if any. */
  readonly preferred: string | undefined;
  /** The run that takes the place of one whose server was silent, if any. */
  readonly next: OpenedRun | undefined;
}

/** The run that follows the present one, if it was begun already. */
interface FollowingRun {
  run: OpenedRun | undefined;
}

const RETRY_TIMEOUT_MS = 3000;
const RETRY_POLL_INTERVAL_MS = 100;
/** Number of leading blocks by which kinds of prompts are distinguished. */
const PREFIX_BLOCKS = 8;
/** Number of blocks of a prompt that are looked up at most. */
const MAX_BLOCKS = 1024;

/**
 * Runs a generation to its end, on as many servers as needed.
 *
 * When a server fails, stops responding or is reclaimed, the next one continues
 * after the tokens generated so far.
 */
export class GenerationRunner {
  constructor(private readonly options: GenerationRunnerOptions) {}

  /**
   * Chooses a server for a generation without sending a request.
   * @param generation - The generation.
   * @param excluded - Servers that must not be used.
   */
  choose(
    generation: Generation,
    excluded: ReadonlySet<string>,
  ): RoutingDecision {
    const deployment = this.getDeployment(generation);
    if (deployment === undefined) {
      return {runnersUp: [], reason: 'deployment-unknown'};
    }
    const prompt = getPromptText(generation.request.body);
    const blocks = this.getBlocks(generation, deployment, prompt);
    const names = this.listCandidates(generation, deployment);
    const known = this.options.directory.listKnowledge(names, blocks);
    const prefix = blocks[Math.min(blocks.length, PREFIX_BLOCKS) - 1];
    return this.options.chooseServer(
      {
        ...(prefix === undefined ? {} : {prefix}),
        promptTokens: estimateTokens(prompt) + generation.getTexts().length,
        expectedTokens: this.options.lengths.getExpected(deployment.name),
        excluded,
      },
      known,
      this.options.random,
    );
  }

  /**
   * Runs a generation to its end.
   * @param generation - The generation; tokens are added to it.
   * @param signal - Stops it.
   */
  async run(generation: Generation, signal: AbortSignal): Promise<void> {
    const content = watchGeneration(this.options, generation);
    this.options.budget.addRequest();
    const following: FollowingRun = {run: undefined};
    try {
      await this.runAttempts(generation, content, following, signal);
    } finally {
      following.run?.discard();
    }
  }

  private async runAttempts(
    generation: Generation,
    content: WatchedContent,
    following: FollowingRun,
    signal: AbortSignal,
  ): Promise<void> {
    const excluded = new Set<string>();
    let detail = '';
    let preferred: string | undefined;
    for (let attempt = 0; !signal.aborted; attempt++) {
      if (this.options.clock.monotonicMs() >= generation.request.deadlineMs) {
        generation.fail(problems.deadlinePassed(ExecutionStatus.UNKNOWN));
        return;
      }
      const blockedMs = content.getRemainingBlockMs();
      if (blockedMs > 0) {
        failBlocked(generation, content, attempt > 0, blockedMs);
        return;
      }
      if (
        attempt > 0 &&
        following.run === undefined &&
        !(await this.waitForRetry(generation, detail))
      ) {
        return;
      }
      const decision =
        following.run?.decision ??
        applyPreferredServer(this.choose(generation, excluded), preferred);
      this.logDecision(generation, decision, attempt);
      const {chosen} = decision;
      if (chosen === undefined && excluded.size > 0) {
        // Every server has failed once; a retry may use any of them again.
        excluded.clear();
        continue;
      }
      const engine = chosen && this.options.directory.getEngine(chosen.server);
      const deployment = this.getDeployment(generation);
      if (!chosen || !engine || !deployment) {
        this.failWithoutServer(generation, attempt > 0, detail);
        return;
      }
      content.beginRun();
      const opened = following.run;
      const ended = await this.attempt(
        {
          ...this.createAttempt(generation, deployment, chosen, engine),
          excluded,
          content,
          opened,
        },
        signal,
      );
      following.run = ended.next;
      if (generation.isOver()) {
        if (ended.detail === '') {
          content.addAnswer();
        }
        return;
      }
      const {directory} = this.options;
      if (ended.failedAfterSend && !signal.aborted) {
        await content.addLoss(directory.getServer(chosen.server));
      }
      detail = ended.detail;
      preferred = ended.preferred;
      if (ended.moved) {
        // Leaving a server under notice is not a failure and costs no retry.
        attempt = -1;
        continue;
      }
      excluded.add(chosen.server);
      this.options.log.warn('generation_interrupted', {
        request: generation.request.id,
        server: chosen.server,
        tokens: generation.getTexts().length,
        detail,
      });
    }
  }

  /**
   * Waits until the budget allows a retry. A caller that already has tokens would lose
   * them, so it waits for up to `RETRY_TIMEOUT_MS`; other callers get the failure at
   * once.
   */
  private async waitForRetry(
    generation: Generation,
    detail: string,
  ): Promise<boolean> {
    const {budget, clock} = this.options;
    const timeoutMs = generation.getTexts().length > 0 ? RETRY_TIMEOUT_MS : 0;
    const endMs = clock.monotonicMs() + timeoutMs;
    while (!budget.spend()) {
      if (clock.monotonicMs() >= endMs) {
        generation.fail(problems.serverFailed(`${detail}; no retry is left`));
        return false;
      }
      await clock.sleep(RETRY_POLL_INTERVAL_MS);
    }
    return true;
  }

  private failWithoutServer(
    generation: Generation,
    tried: boolean,
    detail: string,
  ): void {
    generation.fail(
      tried
        ? problems.serverFailed(detail)
        : problems.noServer(generation.request.deployment),
    );
  }

  private createAttempt(
    generation: Generation,
    deployment: Deployment,
    chosen: ScoredServer,
    engine: ModelEngine,
  ): Omit<Attempt, 'excluded' | 'content' | 'opened'> {
    const prompt = getPromptText(generation.request.body);
    return {
      generation,
      deployment,
      chosen,
      engine,
      blocks: this.getBlocks(generation, deployment, prompt),
      promptTokens: estimateTokens(prompt) + generation.getTexts().length,
    };
  }

  /** Streams from one server and returns how the stream ended. */
  private async attempt(
    attempt: Attempt,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {generation, chosen, opened} = attempt;
    const {running} = this.options;
    const inFlight = opened?.inFlight ?? this.trackRequest(attempt, chosen);
    const handle = running.add(generation, chosen.server);
    const watch = this.createWatch(attempt, signal);
    const stop = AbortSignal.any([signal, handle.moved, watch.getSignal()]);
    try {
      await this.stream(attempt, inFlight, watch, stop);
      inFlight.finish(true);
      return {
        detail: '',
        moved: false,
        failedAfterSend: false,
        preferred: undefined,
        next: undefined,
      };
    } catch (error) {
      await handle.waitForMove();
      const moved = handle.moved.aborted;
      inFlight.finish(moved || signal.aborted);
      const detail = error instanceof Error ? error.message : String(error);
      const isUnsent =
        error instanceof ServerFailure &&
        error.deliveryState === DeliveryState.NOT_SENT;
      const failedAfterSend = !moved && !isUnsent;
      return {
        detail,
        moved,
        failedAfterSend,
        preferred: handle.getPreferredServer(),
        next: moved ? undefined : watch.takeNext(),
      };
    } finally {
      watch.stop();
      running.remove(generation.request.id);
    }
  }

  private trackRequest(
    {blocks, promptTokens}: Pick<Attempt, 'blocks' | 'promptTokens'>,
    {server}: ScoredServer,
  ): InFlightRequest {
    const {directory} = this.options;
    const known = directory.listKnowledge([server], blocks)[0];
    const prefill = promptTokens - (known?.cachedTokens ?? 0);
    return directory.trackRequest(server, blocks, prefill);
  }

  private async stream(
    attempt: Attempt,
    inFlight: InFlightRequest,
    watch: TokenWatch,
    signal: AbortSignal,
  ): Promise<void> {
    const {generation, deployment, engine, chosen, opened} = attempt;
    const {clock, meter, lengths} = this.options;
    const tokens =
      opened === undefined
        ? engine.generate(this.createOrder(generation, deployment), signal)
        : opened.read(signal);
    const startMs = opened?.startMs ?? clock.monotonicMs();
    let previousMs = startMs;
    try {
      for await (const token of tokens) {
        // A token that arrives when another run has gone on is not added.
        watch.getSignal().throwIfAborted();
        this.options.checkToken(token, generation);
        const nowMs = clock.monotonicMs();
        const first = previousMs === startMs;
        if (first) {
          inFlight.addFirstToken(nowMs - startMs, chosen.firstTokenMs);
        }
        meter.addToken(generation.request, nowMs - previousMs, first);
        previousMs = nowMs;
        watch.touch();
        generation.addToken(token.text);
        if (token.finishReason !== undefined) {
          lengths.add(deployment.name, generation.getTexts().length);
          generation.finish(token.finishReason);
          return;
        }
      }
      throw new ServerFailure(
        DeliveryState.SENT,
        'the stream ended before a finish reason',
      );
    } catch (error) {
      if (watch.getSignal().aborted) {
        const detail = `no token for ${Math.round(watch.getSilentMs())} ms`;
        throw new ServerFailure(DeliveryState.SENT, detail);
      }
      throw error;
    }
  }

  private createWatch(attempt: Attempt, signal: AbortSignal): TokenWatch {
    const {clock, firstTokenTimeoutMs, tokenTimeoutMs} = this.options;
    return new TokenWatch({
      clock,
      deadlineMs: attempt.generation.request.deadlineMs,
      firstTokenTimeoutMs,
      tokenTimeoutMs,
      openNext: sinceMs => this.openNext(attempt, sinceMs, signal),
      onNextFailed: (run, error) => this.handleNextFailed(attempt, run, error),
    });
  }

  /** Begins a run beside a silent one, if there are a server and a retry for it. */
  private openNext(
    attempt: Attempt,
    sinceMs: number,
    signal: AbortSignal,
  ): OpenedRun | undefined {
    const {generation, deployment} = attempt;
    const {budget, clock, directory, log} = this.options;
    const decision = this.findNext(attempt, sinceMs);
    const chosen = decision?.chosen;
    const engine = chosen && directory.getEngine(chosen.server);
    if (!decision || !chosen || !engine || !budget.spend()) {
      return undefined;
    }
    log.info('generation_run_added', {
      request: generation.request.id,
      server: chosen.server,
      beside: attempt.chosen.server,
      silent_ms: Math.round(clock.monotonicMs() - sinceMs),
    });
    return new OpenedRun(
      decision,
      engine,
      this.createOrder(generation, deployment),
      this.trackRequest(attempt, chosen),
      clock.monotonicMs(),
      token => this.options.checkToken(token, generation),
      signal,
    );
  }

  private handleNextFailed(
    {generation, excluded, content}: Attempt,
    {decision}: OpenedRun,
    error: unknown,
  ): void {
    const {directory, log} = this.options;
    const server = decision.chosen?.server ?? '';
    excluded.add(server);
    const isUnsent =
      error instanceof ServerFailure &&
      error.deliveryState === DeliveryState.NOT_SENT;
    if (!isUnsent) {
      void content.addLoss(directory.getServer(server));
    }
    log.warn('generation_interrupted', {
      request: generation.request.id,
      server,
      tokens: generation.getTexts().length,
      detail: error instanceof Error ? error.message : String(error),
    });
  }

  /** Finds the server that continues a generation whose server is silent. */
  private findNext(
    {generation, chosen, excluded}: Attempt,
    sinceMs: number,
  ): RoutingDecision | undefined {
    const {directory} = this.options;
    const untried = new Set([...excluded, chosen.server]);
    for (const unwanted of [untried, new Set([chosen.server])]) {
      const decision = this.choose(generation, unwanted);
      const server = decision.chosen?.server;
      if (server !== undefined && !directory.isEjected(server)) {
        return decision;
      }
    }
    // A server that reports its load meanwhile responds; only its stream is silent.
    const isResponding = directory.hasReportedSince(chosen.server, sinceMs);
    return isResponding
      ? {chosen, runnersUp: [], reason: 'restart'}
      : undefined;
  }

  private createOrder(
    generation: Generation,
    deployment: Deployment,
  ): GenerationAttempt {
    const {request} = generation;
    const {target} = deployment;
    const model =
      target.kind === TargetKind.MODEL ? target.model : deployment.name;
    const adapter = request.adapter === '' ? {} : {adapter: request.adapter};
    return {
      requestId: request.id,
      format: request.format,
      body: {...request.body, model, ...adapter},
      continuation: [...generation.getTexts()],
      urgency: request.urgency,
    };
  }

  private getDeployment(generation: Generation): Deployment | undefined {
    const {deployments} = this.options.configuration.getView();
    return deployments.get(generation.request.deployment);
  }

  private getBlocks(
    generation: Generation,
    deployment: Deployment,
    prompt: string,
  ): number[] {
    const {target} = deployment;
    const model = target.kind === TargetKind.MODEL ? target.model : '';
    const {adapter} = generation.request;
    const salt = adapter === '' ? model : `${model}+${adapter}`;
    return hashPrefixBlocks(salt, prompt, MAX_BLOCKS);
  }

  private listCandidates(
    generation: Generation,
    deployment: Deployment,
  ): string[] {
    const {directory} = this.options;
    const found = findCandidates({
      deployment,
      adapter: generation.request.adapter,
      servers: directory.listServers(),
      isLeaving: this.options.isLeaving,
      getLoad: server => directory.getLoad(server)?.load,
    });
    return found.map(server => server.name);
  }

  private logDecision(
    generation: Generation,
    decision: RoutingDecision,
    attempt: number,
  ): void {
    const {request} = generation;
    this.options.log.info('route', {
      request: request.id,
      deployment: request.deployment,
      customer: request.customer,
      attempt,
      from_token: generation.getTexts().length,
      server: decision.chosen?.server,
      predicted_ms: decision.chosen && Math.round(decision.chosen.firstTokenMs),
      runners_up:
        decision.runnersUp
          .map(other => `${other.server}:${Math.round(other.firstTokenMs)}ms`)
          .join(',') || undefined,
      reason: decision.reason,
    });
  }
}

/** Replaces the chosen server by the one that holds the cache, whatever its queue. */
function applyPreferredServer(
  decision: RoutingDecision,
  preferred: string | undefined,
): RoutingDecision {
  if (preferred === undefined || decision.chosen === undefined) {
    return decision;
  }
  return {
    chosen: {...decision.chosen, server: preferred},
    runnersUp: decision.runnersUp,
    reason: 'imported-cache',
  };
}

/**
 * Checks that a token belongs to a generation and has the expected position. A token
 * of another request or at another position must never reach the caller.
 * @param token - The token.
 * @param generation - The generation that it was received for.
 * @throws ServerFailure - If the token does not belong there.
 */
export function checkToken(token: Token, generation: Generation): void {
  if (token.requestId !== generation.request.id) {
    throw new ServerFailure(
      DeliveryState.SENT,
      'the stream contains a token of another request',
    );
  }
  const expected = generation.getTexts().length;
  if (token.position !== expected) {
    throw new ServerFailure(
      DeliveryState.SENT,
      `received token ${token.position}, expected token ${expected}`,
    );
  }
}
