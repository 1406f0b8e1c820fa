/** The callers' interface: completions, service calls, outcomes of earlier requests. */
export {getKeyHash, hashKey} from './authentication.js';
export {CallerApi} from './caller_api.js';
export type {CallerContext, CallerLimits} from './caller_context.js';
export {GenerationAdmission} from './generation_admission.js';
export type {GenerationAdmissionOptions} from './generation_admission.js';
export {GenerationHandler} from './generation_handler.js';
export type {GenerationHandlerOptions} from './generation_handler.js';
export {readBody} from './read_body.js';
export type {BodyLimits} from './read_body.js';
export {RequestHandler} from './request_handler.js';
export type {
  ReadableGeneration,
  RequestHandlerOptions,
} from './request_handler.js';
export {sendProblem} from './send_problem.js';
export {ServiceHandler} from './service_handler.js';
