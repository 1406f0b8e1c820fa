/** Server model: times of servers, learned from the answers that all hosts get. */
export {createServerKey} from './create_server_key.js';
export type {Lateness} from './late_watch.js';
export {LateWatch} from './late_watch.js';
export {
  createModelSection,
  modelSectionSchema,
  readModelSection,
} from './model_section.js';
export type {ModelSection} from './model_section.js';
export {ModelSum, subtractSums} from './model_sums.js';
export type {ModelSums} from './model_sums.js';
export {ServerModels} from './server_models.js';
export type {ServerModelsOptions, ServiceDescription} from './server_models.js';
export type {
  RequestFeatures,
  RequestKind,
  ServerTimes,
} from './server_times.js';
