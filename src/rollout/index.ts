/** Rollouts: move a service's requests to servers of another version step by step. */
export {decideRollout, RolloutAct} from './decide_rollout.js';
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
export {
  rolloutAnswerSchema,
  rolloutQuestionSchema,
} from './rollout_messages.js';
export type {
  RolloutAnswer,
  RolloutQuestionMessage,
  RolloutDirective,
} from './rollout_messages.js';
export {RolloutWords} from './rollout_words.js';
export {createVersionCounts} from './version_counts.js';
export type {VersionCounts} from './version_counts.js';
export {VersionGate} from './version_gate.js';
export type {AllowsServer, VersionGateOptions} from './version_gate.js';
export {VersionEnd, VersionLedger} from './version_ledger.js';
export type {VersionRun} from './version_ledger.js';
