/** Generations: streamed answers of language models. */
export {AnswerLengths} from './answer_lengths.js';
export {Generation} from './generation.js';
export type {GenerationEvent, GenerationRequest} from './generation.js';
export type {GenerationMeter} from './generation_meter.js';
export {checkToken, GenerationRunner} from './generation_runner.js';
export type {GenerationRunnerOptions} from './generation_runner.js';
export {GenerationStore} from './generation_store.js';
export {RunningGenerations} from './running_generations.js';
export type {RunningGeneration} from './running_generations.js';
export {decideReclaim, ReclaimAction} from './reclaim_decision.js';
export type {
  ReclaimCase,
  ReclaimDecision,
  ReclaimSituation,
} from './reclaim_decision.js';
export {ReclaimWatch} from './reclaim_watch.js';
export type {ReclaimWatchOptions} from './reclaim_watch.js';
