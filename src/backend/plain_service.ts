import {Result} from 'true-myth';
import {ServerFailure} from './server_failure.js';

/** A call to a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly method: string;
  /** Path and query below the service's root, beginning with "/". */
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Key passed on for services that deduplicate or can be asked later. */
  readonly key?: string;
}

/** The whole answer of a plain service. */
export interface ServiceAnswer {
  readonly requestId: string;
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** A plain service on a backend server. */
export interface PlainService {
  /**
   * Sends a call once.
   * @param call - The call.
   * @param timeoutMs - Limit on the whole exchange, in milliseconds.
   */
  send(
    call: ServiceCall,
    timeoutMs: number,
  ): Promise<Result<ServiceAnswer, ServerFailure>>;
  /** Asks for the answer once given under a key; `undefined` if it never ran. */
  getOutcome(
    key: string,
  ): Promise<Result<ServiceAnswer | undefined, ServerFailure>>;
}
