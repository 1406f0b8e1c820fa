import {got, Response} from 'got';
import {CommandFailure, ExitCode} from './exit_code.js';

/** Server address and credentials. */
export interface AdminClientOptions {
  readonly url: string;
  readonly key: string;
}

/** Successful response of the administration API. */
export interface AdminResponse {
  readonly status: number;
  readonly body: unknown;
  readonly etag?: string;
}

/** Members of a problem document that the tool reads. */
interface ProblemBody {
  readonly title?: string;
  readonly detail?: string;
  readonly remedy?: string;
  readonly winner?: unknown;
}

const TIMEOUT_MS = 15_000;

/** Client of the administration API of one entry host. */
export class AdminClient {
  constructor(private readonly options: AdminClientOptions) {}

  /**
   * Sends a GET request.
   * @throws CommandFailure - If the host cannot be reached or reports a problem.
   */
  get(path: string): Promise<AdminResponse> {
    return this.send('GET', path);
  }

  /**
   * Sends a request.
   * @param method - HTTP method.
   * @param path - Path with its query string.
   * @param json - Body, if any.
   * @param headers - Headers to add, such as the precondition of a change.
   * @throws CommandFailure - If the host cannot be reached or reports a problem.
   */
  send(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    json?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<AdminResponse> {
    return this.request(method, path, json, headers);
  }

  private async request(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    json: unknown,
    headers: Readonly<Record<string, string>>,
  ): Promise<AdminResponse> {
    let response: Response<string>;
    try {
      response = await got(`${this.options.url}${path}`, {
        method,
        headers: {authorization: `Bearer ${this.options.key}`, ...headers},
        ...(json === undefined ? {} : {json}),
        timeout: {request: TIMEOUT_MS},
        retry: {limit: 0},
        throwHttpErrors: false,
      });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      throw new CommandFailure(
        ExitCode.FAILED,
        `${this.options.url} cannot be reached (${detail}); give --server the operators address of a live entry host`,
      );
    }
    const body = parseBody(response.body);
    if (response.statusCode >= 400) {
      throw toFailure(response.statusCode, body as ProblemBody);
    }
    const {etag} = response.headers;
    return {
      status: response.statusCode,
      body,
      ...(etag === undefined ? {} : {etag}),
    };
  }
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return {detail: text};
  }
}

function toFailure(status: number, body: ProblemBody): CommandFailure {
  const codes: Readonly<Record<number, ExitCode>> = {
    404: ExitCode.NOT_FOUND,
    412: ExitCode.CONFLICT,
    422: ExitCode.INVALID,
  };
  const lines = [`${body.detail ?? `status ${status}`} ${body.remedy ?? ''}`];
  if (body.winner !== undefined) {
    lines.push(`the record is now: ${JSON.stringify(body.winner)}`);
  }
  return new CommandFailure(codes[status] ?? ExitCode.FAILED, lines.join('\n'));
}
