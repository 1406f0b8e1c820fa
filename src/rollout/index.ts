/** Rollouts: move a service's requests to servers of another version step by step. */
export {decideRollout, RolloutAction} from './decide_rollout.js';
export type {
  ExposureBound,
  RolloutDecision,
  RolloutDecisionInput,
} from './decide_rollout.js';
export {judgeVersion} from './judge_version.js';
export type {VersionVerdict} from './judge_version.js';
export {isFinal, rolloutSchema, RolloutState} from './rollout.js';
export type {Rollout} from './rollout.js';
export {RolloutClient} from './rollout_client.js';
export type {RolloutClientOptions} from './rollout_client.js';
export {RolloutDriver} from './rollout_driver.js';
export type {RolloutDriverOptions} from './rollout_driver.js';
export type {RolloutOrder} from './rollout_order.js';
export {RolloutOrders} from './rollout_orders.js';
export type {RolloutStore, StoredRollout} from './rollout_store.js';
export {rolloutReplySchema, rolloutReportSchema} from './rollout_messages.js';
export type {
  RolloutReply,
  RolloutReport,
  RolloutDirective,
} from './rollout_messages.js';
export {RolloutDirectives} from './rollout_directives.js';
export {createVersionCounts} from './version_counts.js';
export type {VersionCounts} from './version_counts.js';
export {VersionSelector} from './version_selector.js';
export type {
  ServerPredicate,
  VersionSelectorOptions,
} from './version_selector.js';
export {VersionOutcome, VersionCounter} from './version_counter.js';
export type {VersionRun} from './version_counter.js';
