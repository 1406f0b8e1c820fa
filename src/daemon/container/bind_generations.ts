/** Bindings of the store and runner of generations, and of the reclaim watch. */
import {Container} from 'inversify';
import {ConfigurationStore} from '../../configuration/index.js';
import {
  AnswerLengths,
  checkToken,
  GenerationRunner,
  GenerationStore,
  ReclaimWatch,
  RunningGenerations,
} from '../../generation/index.js';
import {LeavingHosts} from '../../membership/index.js';
import {Metrics} from '../../metrics/index.js';
import {TerminatedServers, Quarantine} from '../../quarantine/index.js';
import {
  chooseServer,
  RetryBudget,
  ServerDirectory,
} from '../../routing/index.js';
import {CLOCK, LOG, RANDOM, SETTINGS} from '../identifiers.js';
import {bind} from '../../container/index.js';
import {createIsLeaving} from './create_is_leaving.js';

/** Rate at which a KV cache is transferred between engines, in tokens per second. */
const CACHE_TRANSFER_TOKENS_PER_S = 20_000;
/** KV caches that the remaining engines import at the same time. */
const MAX_PARALLEL_IMPORTS = 8;

/** Binds the components that run and keep generations. */
export function bindGenerations(container: Container): void {
  bind(container, AnswerLengths, () => new AnswerLengths());
  bind(container, RunningGenerations, () => new RunningGenerations());
  bind(container, GenerationStore, context => {
    const {engines} = context.get(SETTINGS);
    return new GenerationStore({
      clock: context.get(CLOCK),
      retentionMs: engines.keep_ms,
      unreadMs: engines.unread_ms,
    });
  });
  bind(container, GenerationRunner, context => {
    const {engines} = context.get(SETTINGS);
    const metrics = context.get(Metrics);
    return new GenerationRunner({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      random: context.get(RANDOM),
      configuration: context.get(ConfigurationStore),
      directory: context.get(ServerDirectory),
      budget: context.get(RetryBudget),
      quarantine: context.get(Quarantine),
      terminatedServers: context.get(TerminatedServers),
      running: context.get(RunningGenerations),
      lengths: context.get(AnswerLengths),
      meter: {
        addToken: (request, gapMs, first) =>
          metrics.record(
            first ? 'first_token_seconds' : 'between_tokens_seconds',
            gapMs,
            {deployment: request.deployment},
          ),
      },
      chooseServer,
      checkToken,
      isLeaving: createIsLeaving(context),
      firstTokenTimeoutMs: engines.first_token_silence_ms,
      tokenTimeoutMs: engines.silence_ms,
    });
  });
  bind(container, ReclaimWatch, context => {
    const leavingHosts = context.get(LeavingHosts);
    return new ReclaimWatch({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      configuration: context.get(ConfigurationStore),
      directory: context.get(ServerDirectory),
      running: context.get(RunningGenerations),
      lengths: context.get(AnswerLengths),
      runner: context.get(GenerationRunner),
      getRemainingMs: server => leavingHosts.getRemainingMs(server),
      transferRate: CACHE_TRANSFER_TOKENS_PER_S,
      importSlots: MAX_PARALLEL_IMPORTS,
    });
  });
}
