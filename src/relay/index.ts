/** Relay of opaque requests to the servers of their routes. */
export type {AnswerSink} from './answer_sink.js';
export {AttemptEnd} from './attempt_end.js';
export {CopyFailure} from './copy_run.js';
export type {CopyRunParams, CopyRun} from './copy_run.js';
export * from './exchange.js';
export {PlaceAdmission} from './place_admission.js';
export type {PlaceAdmissionOptions} from './place_admission.js';
export {Relay} from './relay.js';
export type {ForwardedAttempts} from './relay_run_params.js';
export type {RelayOptions} from './relay_options.js';
export type {Prompt, RawHeader, RelayRequest} from './relay_request.js';
export type {ServerStatement} from './server_statement.js';
