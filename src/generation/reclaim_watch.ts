import {estimateTokens, getPromptText} from '../backend/index.js';
import {ConfigurationStore} from '../configuration/index.js';
import {Log} from '../log/index.js';
import {ScoredServer, ServerDirectory} from '../routing/index.js';
import {Clock} from '../time/index.js';
import {AnswerLengths} from './answer_lengths.js';
import {Generation} from './generation.js';
import {GenerationRunner} from './generation_runner.js';
import {
  decideReclaim,
  ReclaimAction,
  ReclaimCase,
  ReclaimDecision,
} from './reclaim_decision.js';
import {RunningGeneration, RunningGenerations} from './running_generations.js';

/** Options of the watch. */
export interface ReclaimWatchOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly configuration: ConfigurationStore;
  readonly directory: ServerDirectory;
  readonly running: RunningGenerations;
  readonly lengths: AnswerLengths;
  readonly runner: GenerationRunner;
  /** Returns the time until a server is reclaimed, in ms; `undefined` without notice. */
  readonly getRemainingMs: (server: string) => number | undefined;
  /** Tokens per second at which a KV cache is exported and imported. */
  readonly transferRate: number;
  /** Number of caches that the surviving servers import at the same time. */
  readonly importSlots: number;
}

const CHECK_INTERVAL_MS = 100;
/** Remaining notice below which all running generations are moved, in ms. */
const FORCED_MOVE_NOTICE_MS = 1500;
const DEFAULT_WEIGHTS = {recomputedToken: 1, lateSecond: 1};
const DEFAULT_DECODE_MS = 30;

/** Moves generations away from servers that the platform reclaims. */
export class ReclaimWatch {
  /** Servers under notice whose generations have been decided on. */
  private readonly decided = new Set<string>();

  constructor(private readonly options: ReclaimWatchOptions) {}

  /** Checks the servers periodically until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.checkServers();
      await this.options.clock.sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  /** Checks every server once. */
  async checkServers(): Promise<void> {
    for (const server of this.options.directory.listServers()) {
      const remainingMs = this.options.getRemainingMs(server.name);
      if (remainingMs === undefined) {
        this.decided.delete(server.name);
        continue;
      }
      if (!this.decided.has(server.name)) {
        this.decided.add(server.name);
        void this.reclaim(server.name, remainingMs);
      } else if (remainingMs < FORCED_MOVE_NOTICE_MS) {
        await this.moveRemaining(server.name);
      }
    }
  }

  private async reclaim(server: string, remainingMs: number): Promise<void> {
    const running = this.options.running.listOn(server);
    const movable = running.filter(item => this.canMove(item));
    const others = running.filter(item => !movable.includes(item));
    const decisions = [
      ...this.decide(movable, remainingMs, true),
      ...this.decide(others, remainingMs, false),
    ];
    const exports: Promise<void>[] = [];
    for (const decision of decisions) {
      this.logDecision(server, decision);
      const item = running.find(
        other => other.generation.request.id === decision.id,
      );
      if (item === undefined || decision.action === ReclaimAction.FINISH) {
        continue;
      }
      if (decision.action === ReclaimAction.RESUME) {
        item.move.abort();
        continue;
      }
      exports.push(this.export(item));
      if (exports.length >= this.options.importSlots) {
        await Promise.all(exports.splice(0));
      }
    }
    await Promise.all(exports);
  }

  private decide(
    running: readonly RunningGeneration[],
    remainingMs: number,
    hasSurvivor: boolean,
  ): ReclaimDecision[] {
    const {transferRate, importSlots} = this.options;
    return decideReclaim(
      running.map(item => this.createCase(item)),
      {remainingMs, transferRate, importSlots, hasSurvivor},
    );
  }

  /** Moves generations that have not finished as expected. */
  private async moveRemaining(server: string): Promise<void> {
    for (const item of this.options.running.listOn(server)) {
      if (this.canMove(item)) {
        await this.export(item);
      }
    }
  }

  /** Exports a cache to the server that will continue, then moves the generation. */
  private export(item: RunningGeneration): Promise<void> {
    const move = this.exportAndMove(item);
    item.trackMove(move);
    return move;
  }

  private async exportAndMove(item: RunningGeneration): Promise<void> {
    const {directory} = this.options;
    const {generation, server} = item;
    const next = this.findNext(item);
    if (next === undefined) {
      // It goes on until the end of the notice; a later check may find a server.
      return;
    }
    const target = directory.getEngine(next.server);
    const source = directory.getEngine(server);
    if (target === undefined || source === undefined) {
      item.move.abort();
      return;
    }
    const exported = await source.exportCache(generation.request.id);
    if (exported.isOk && !generation.isOver()) {
      const imported = await target.importCache(exported.value);
      if (imported.isOk) {
        item.setPreferredServer(next.server);
      }
    }
    item.move.abort();
  }

  private createCase(item: RunningGeneration): ReclaimCase {
    const {generation, server} = item;
    const deployment = this.getDeployment(generation);
    const prompt = getPromptText(generation.request.body);
    const sent = generation.getTexts().length;
    const expected = Math.max(
      getTokenLimit(generation) ??
        this.options.lengths.getExpected(generation.request.deployment),
      sent + 1,
    );
    const load = this.options.directory.getLoad(server)?.load;
    return {
      id: generation.request.id,
      contextTokens: estimateTokens(prompt) + sent,
      remainingTokens: expected - sent,
      decodeMs: load?.decodeMs ?? DEFAULT_DECODE_MS,
      weights: deployment?.weights ?? DEFAULT_WEIGHTS,
    };
  }

  /** Returns whether another server can continue a generation. */
  private canMove(item: RunningGeneration): boolean {
    return this.findNext(item) !== undefined;
  }

  private findNext({
    generation,
    server,
  }: RunningGeneration): ScoredServer | undefined {
    return this.options.runner.choose(generation, new Set([server])).chosen;
  }

  private getDeployment(generation: Generation) {
    const {deployments} = this.options.configuration.getView();
    return deployments.get(generation.request.deployment);
  }

  private logDecision(server: string, decision: ReclaimDecision): void {
    this.options.log.info('reclaim', {
      request: decision.id,
      server,
      action: decision.action,
      value_per_s: Math.round(decision.valuePerSecond),
      reason: decision.reason,
    });
  }
}

/** Returns the caller's limit on the answer; real engines often stop before it. */
function getTokenLimit(generation: Generation): number | undefined {
  const {body} = generation.request;
  const limit = body['max_tokens'] ?? body['max_completion_tokens'];
  return typeof limit === 'number' ? limit : undefined;
}
