import {ClientRequest} from 'node:http';
import {Socket} from 'node:net';
import {got, RequestError} from 'got';
import {Result} from 'true-myth';

/** An HTTP exchange that brought a status. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** An HTTP exchange that brought none. */
export interface HttpFailure {
  /** True when the request certainly did not reach the other side. */
  readonly unreached: boolean;
  readonly detail: string;
}

/** What to send. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly url: string;
  readonly json?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Limit on the whole exchange, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Whether a call that is given up must not arrive any more. A channel that is
   * closed still delivers what a cut holds up, one that is reset does not.
   */
  readonly recalls?: boolean;
}

const UNREACHED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
]);

/**
 * Sends one JSON request, once: retries are the caller's decision.
 * @param request - What to send.
 */
export async function sendJson(
  request: HttpRequest,
): Promise<Result<HttpAnswer, HttpFailure>> {
  const recall = new Recall(request);
  try {
    const call = got(request.url, {
      method: request.method,
      ...(request.json === undefined ? {} : {json: request.json}),
      headers: {...request.headers},
      timeout: request.recalls === true ? {} : {request: request.timeoutMs},
      retry: {limit: 0},
      throwHttpErrors: false,
      followRedirect: false,
    });
    void call.on('request', sent => recall.watch(sent));
    const response = await call;
    return Result.ok({
      status: response.statusCode,
      body: parseJson(response.body),
    });
  } catch (error) {
    return Result.err(recall.failure ?? toHttpFailure(error));
  } finally {
    recall.stop();
  }
}

/** Resets a call's channel when its time is up, where the call asks for that. */
class Recall {
  /** What became of a call that was recalled. */
  failure: HttpFailure | undefined;
  private socket: Socket | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly request: HttpRequest) {}

  watch(sent: ClientRequest): void {
    if (this.request.recalls !== true) {
      return;
    }
    sent.once('socket', socket => (this.socket = socket));
    this.timer = setTimeout(() => this.reset(sent), this.request.timeoutMs);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private reset(sent: ClientRequest): void {
    const unreached = this.socket?.connecting ?? true;
    const detail = `given up after ${this.request.timeoutMs} ms`;
    this.failure = {unreached, detail};
    if (unreached) {
      sent.destroy();
      return;
    }
    this.socket?.resetAndDestroy();
  }
}

/** Tells a request that never left from one whose answer was lost. */
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
