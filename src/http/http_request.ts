import {ClientRequest, IncomingHttpHeaders} from 'node:http';
import {Socket} from 'node:net';
import {got, RequestError} from 'got';
import {Result} from 'true-myth';
import {startTimeout} from './start_timeout.js';

/** Response to an HTTP request, with any status code. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: unknown;
}

/** An HTTP request that got no response. */
export interface HttpFailure {
  /** True if the request certainly did not reach the server. */
  readonly unreached: boolean;
  readonly detail: string;
}

/** Timeouts of a response that may take long because it is large. */
export interface ProgressTimeouts {
  /** Longest time without further bytes once the body has begun, in milliseconds. */
  readonly silenceMs: number;
  /** Timeout for the complete response, in milliseconds. */
  readonly maxMs: number;
  /**
   * Called whenever bytes of the body arrive.
   * @param bytes - Bytes of the body received so far.
   */
  readonly onBytes?: (bytes: number) => void;
}

/** An HTTP request with an optional JSON body. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly json?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /**
   * Timeout for the complete response, in milliseconds; with `progress`, for the first
   * bytes of its body.
   */
  readonly timeoutMs: number;
  /** Limits the time without received bytes, rather than the time of the whole body. */
  readonly progress?: ProgressTimeouts;
  /** Longest body of a response, in bytes; by default, `MAX_RESPONSE_BYTES`. */
  readonly maxResponseBytes?: number;
  /**
   * Whether a request must not reach the server after it has timed out; its connection is
   * then reset. A connection that is closed normally still delivers data that was held
   * up by a network interruption; one that is reset does not.
   */
  readonly recalls?: boolean;
}

/**
 * Longest body of a response, in bytes: twice the longest row of a table, 4 MiB, as base64, with
 * other rows. A host has 128 MB of memory.
 */
const MAX_RESPONSE_BYTES = 16_777_216;
const UNREACHED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
]);

/**
 * Sends a JSON request once, without retries or redirects.
 * @param request - Request to send.
 * @returns The response, whatever its status, or why there is none.
 */
export async function sendJson(
  request: HttpRequest,
): Promise<Result<HttpResponse, HttpFailure>> {
  const timeoutReset = new TimeoutReset(request);
  const progressTimeout = new ProgressTimeout(request);
  const responseLimit = new ResponseLimit(request);
  try {
    const call = got(request.url, {
      method: request.method,
      ...(request.json === undefined ? {} : {json: request.json}),
      headers: {...request.headers},
      timeout: getTimeout(request),
      ...(request.progress === undefined
        ? {}
        : {signal: progressTimeout.signal}),
      retry: {limit: 0},
      throwHttpErrors: false,
      followRedirect: false,
    });
    void call.on('request', sent => timeoutReset.start(sent));
    void call.on('downloadProgress', ({transferred}) => {
      if (responseLimit.isExceededBy(transferred)) {
        call.cancel();
      }
    });
    if (request.progress !== undefined) {
      progressTimeout.start();
      void call.on('downloadProgress', ({transferred}) =>
        progressTimeout.addBytes(transferred),
      );
    }
    const response = await call;
    return Result.ok({
      status: response.statusCode,
      headers: response.headers,
      body: parseJson(response.body),
    });
  } catch (error) {
    return Result.err(
      timeoutReset.failure ??
        progressTimeout.failure ??
        responseLimit.failure ??
        toHttpFailure(error),
    );
  } finally {
    timeoutReset.stop();
    progressTimeout.stop();
  }
}

function getTimeout(request: HttpRequest): {request?: number} {
  if (request.recalls === true) {
    return {};
  }
  return {request: request.progress?.maxMs ?? request.timeoutMs};
}

/** Aborts a request whose response has not begun or does not continue in time. */
class ProgressTimeout {
  /** Set once the request has timed out. */
  failure: HttpFailure | undefined;
  private readonly controller = new AbortController();
  private cancelTimeout: () => void = () => undefined;
  private receivedBytes = 0;

  constructor(private readonly request: HttpRequest) {}

  /** Aborted on a timeout. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  start(): void {
    this.wait(this.request.timeoutMs);
  }

  addBytes(receivedBytes: number): void {
    const {progress} = this.request;
    if (progress === undefined || receivedBytes <= this.receivedBytes) {
      return;
    }
    this.receivedBytes = receivedBytes;
    this.wait(progress.silenceMs);
    progress.onBytes?.(receivedBytes);
  }

  stop(): void {
    this.cancelTimeout();
  }

  private wait(ms: number): void {
    this.cancelTimeout();
    this.cancelTimeout = startTimeout(ms, () => {
      const detail = `no bytes received for ${ms} ms after ${this.receivedBytes} bytes`;
      this.failure = {unreached: false, detail};
      this.controller.abort();
    });
  }
}

/** Limits the length of a response. */
class ResponseLimit {
  /** Set once the response is too long. */
  failure: HttpFailure | undefined;

  constructor(private readonly request: HttpRequest) {}

  isExceededBy(receivedBytes: number): boolean {
    const {maxResponseBytes = MAX_RESPONSE_BYTES} = this.request;
    if (receivedBytes <= maxResponseBytes) {
      return false;
    }
    const detail = `response longer than ${maxResponseBytes} bytes`;
    this.failure = {unreached: false, detail};
    return true;
  }
}

/** Resets the connection of a request that times out, if the request asks for that. */
class TimeoutReset {
  /** Set once the request has timed out. */
  failure: HttpFailure | undefined;
  private socket: Socket | undefined;
  private cancelTimeout: () => void = () => undefined;

  constructor(private readonly request: HttpRequest) {}

  start(sent: ClientRequest): void {
    if (this.request.recalls !== true) {
      return;
    }
    sent.once('socket', socket => (this.socket = socket));
    this.cancelTimeout = startTimeout(this.request.timeoutMs, () =>
      this.reset(sent),
    );
  }

  stop(): void {
    this.cancelTimeout();
  }

  private reset(sent: ClientRequest): void {
    const unreached = this.socket?.connecting ?? true;
    const detail = `no complete response within ${this.request.timeoutMs} ms`;
    this.failure = {unreached, detail};
    if (unreached) {
      sent.destroy();
      return;
    }
    this.socket?.resetAndDestroy();
  }
}

/** Distinguishes a request that never reached the server from one that may have. */
export function toHttpFailure(error: unknown): HttpFailure {
  const code = error instanceof RequestError ? error.code : '';
  const detail = error instanceof Error ? error.message : String(error);
  return {unreached: UNREACHED_CODES.has(code), detail};
}

function parseJson(text: string): unknown {
  if (text === '') {
    return undefined;
  }
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
