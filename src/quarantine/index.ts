/** Requests that end the servers that run them: how they are known and kept away. */
export {fingerprintRequest} from './fingerprint_request.js';
export type {RequestContent} from './fingerprint_request.js';
