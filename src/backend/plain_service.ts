import {Result} from 'true-myth';
import {ServerFailure} from './server_failure.js';

/** A call to a plain service: a backend server that is not a model engine. */
export interface ServiceCall {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, relative to the base URL of the service, starting with "/". */
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Idempotency key, for services that deduplicate or that answer `getOutcome`. */
  readonly key?: string;
}

/** The complete response of a plain service. */
export interface ServiceAnswer {
  readonly requestId: string;
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Interface of a plain service on a backend server. */
export interface PlainService {
  /**
   * Sends a call once, without retries.
   * @param call - The call.
   * @param timeoutMs - Time limit for the whole exchange, in milliseconds.
   */
  send(
    call: ServiceCall,
    timeoutMs: number,
  ): Promise<Result<ServiceAnswer, ServerFailure>>;
  /** Requests the answer that was given to the call with a key; `undefined` if none ran. */
  getOutcome(
    key: string,
  ): Promise<Result<ServiceAnswer | undefined, ServerFailure>>;
}
