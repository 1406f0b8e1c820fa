import {Agent} from 'node:http';
import {got, TimeoutError} from 'got';
import {Result} from 'true-myth';
import {IncompleteAnswer} from '../answer/index.js';
import {toHttpFailure, waitForBodyEnd} from '../http/index.js';
import {PlainService, ServiceAnswer, ServiceCall} from './plain_service.js';
import {DeliveryState, ServerFailure} from './server_failure.js';

const CONNECT_TIMEOUT_MS = 1000;
const OUTCOME_TIMEOUT_MS = 2000;
/** Longest answer, in bytes; it is kept whole, in a host's memory of 128 MB. */
const MAX_ANSWER_BYTES = 16_777_216;
const REQUEST_ID_HEADER = 'x-request-id';

/** Client of a plain service over HTTP. */
export class HttpPlainService implements PlainService {
  // The server may close a kept-alive connection while a call is being sent on
  // it; then it is unknown whether the call was received. So each call uses a
  // new connection.
  private readonly agent = new Agent({keepAlive: false});

  /** @param url - Base URL of the service. */
  constructor(private readonly url: string) {}

  async send(
    call: ServiceCall,
    timeoutMs: number,
  ): Promise<Result<ServiceAnswer, ServerFailure>> {
    let tooLong: ServerFailure | undefined;
    try {
      const sending = got(this.url + call.path, {
        method: call.method as 'GET' | 'POST',
        headers: getHeaders(call),
        ...(call.body.length === 0 ? {} : {body: Buffer.from(call.body)}),
        agent: {http: this.agent},
        responseType: 'buffer',
        retry: {limit: 0},
        throwHttpErrors: false,
        followRedirect: false,
        timeout: {
          connect: Math.min(CONNECT_TIMEOUT_MS, timeoutMs),
          request: timeoutMs,
        },
      });
      const bodyEnd = new Promise<IncompleteAnswer | undefined>(resolve => {
        void sending.on('request', sent => resolve(waitForBodyEnd(sent)));
      });
      void sending.on('downloadProgress', ({transferred}) => {
        if (transferred > MAX_ANSWER_BYTES) {
          tooLong = new ServerFailure(
            DeliveryState.SENT,
            `response longer than ${MAX_ANSWER_BYTES} bytes`,
          );
          sending.cancel();
        }
      });
      const response = await sending;
      const failure = await bodyEnd;
      if (failure !== undefined) {
        return Result.err(
          new ServerFailure(DeliveryState.SENT, failure.message),
        );
      }
      const echoed = response.headers[REQUEST_ID_HEADER];
      if (echoed !== undefined && echoed !== call.requestId) {
        return Result.err(
          new ServerFailure(
            DeliveryState.SENT,
            'response carries the id of another request',
          ),
        );
      }
      return Result.ok({
        requestId: call.requestId,
        status: response.statusCode,
        contentType:
          response.headers['content-type'] ?? 'application/octet-stream',
        body: response.rawBody,
      });
    } catch (error) {
      return Result.err(tooLong ?? toServerFailure(error));
    }
  }

  async getOutcome(
    key: string,
  ): Promise<Result<ServiceAnswer | undefined, ServerFailure>> {
    const answer = await this.send(
      {
        requestId: `outcome-${key}`,
        method: 'GET',
        path: `/outcomes/${encodeURIComponent(key)}`,
        contentType: '',
        body: new Uint8Array(),
      },
      OUTCOME_TIMEOUT_MS,
    );
    return answer.andThen(found =>
      found.status === 404
        ? Result.ok<ServiceAnswer | undefined, ServerFailure>(undefined)
        : found.status === 200
          ? Result.ok<ServiceAnswer | undefined, ServerFailure>(found)
          : Result.err<ServiceAnswer | undefined, ServerFailure>(
              new ServerFailure(
                DeliveryState.SENT,
                `unexpected status ${found.status} for an outcome lookup`,
              ),
            ),
    );
  }
}

function getHeaders(call: ServiceCall): Record<string, string> {
  const headers: Record<string, string> = {[REQUEST_ID_HEADER]: call.requestId};
  if (call.contentType !== '') {
    headers['content-type'] = call.contentType;
  }
  if (call.key !== undefined) {
    headers['idempotency-key'] = call.key;
  }
  return headers;
}

function toServerFailure(error: unknown): ServerFailure {
  const failure = toHttpFailure(error);
  const neverConnected =
    error instanceof TimeoutError && error.event === 'connect';
  const notSent = failure.unreached || neverConnected;
  return new ServerFailure(
    notSent ? DeliveryState.NOT_SENT : DeliveryState.SENT,
    failure.detail,
  );
}
