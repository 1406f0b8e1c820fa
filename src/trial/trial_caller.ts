import {got} from 'got';
import {readEventStream} from '../backend/index.js';

/** Result of one streamed generation. */
export interface StreamResult {
  readonly status: number;
  readonly text: string;
  readonly tokens: number;
  /** Whether the stream ended with `[DONE]`. */
  readonly complete: boolean;
  readonly requestId: string;
}

/** Result of one service call. */
export interface CallResult {
  readonly status: number;
  readonly body: unknown;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** A client of the system that uses one customer's key. */
export class TrialCaller {
  constructor(
    readonly url: string,
    private readonly key: string,
  ) {}

  /**
   * Requests a streamed text completion and reads it until the stream ends.
   * @param deployment - Deployment to use.
   * @param prompt - Prompt text.
   * @param maxTokens - Number of tokens to request.
   */
  async stream(
    deployment: string,
    prompt: string,
    maxTokens: number,
  ): Promise<StreamResult> {
    const stream = got.stream.post(`${this.url}/v1/completions`, {
      json: {model: deployment, prompt, max_tokens: maxTokens, stream: true},
      headers: this.getHeaders(),
      retry: {limit: 0},
      throwHttpErrors: false,
    });
    let status = 0;
    let requestId = '';
    stream.once(
      'response',
      (response: {
        statusCode: number;
        headers: Record<string, string | undefined>;
      }) => {
        status = response.statusCode;
        requestId = response.headers['sedgefall-request-id'] ?? '';
      },
    );
    let text = '';
    let tokens = 0;
    for await (const data of readEventStream(stream)) {
      if (data === '[DONE]') {
        return {status, text, tokens, complete: true, requestId};
      }
      const chunk = JSON.parse(data) as {choices?: {text: string}[]};
      const tokenText = chunk.choices?.[0]?.text ?? '';
      text += tokenText;
      tokens += tokenText === '' ? 0 : 1;
    }
    return {status, text, tokens, complete: false, requestId};
  }

  /**
   * Sends a POST request to a plain service.
   * @param deployment - Deployment to use.
   * @param path - Path below the service's root.
   * @param json - Request body.
   * @param headers - Additional headers, such as Idempotency-Key.
   */
  async call(
    deployment: string,
    path: string,
    json: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<CallResult> {
    const response = await got.post(
      `${this.url}/services/${deployment}${path}`,
      {
        json,
        headers: {...this.getHeaders(), ...headers},
        retry: {limit: 0},
        throwHttpErrors: false,
      },
    );
    return {
      status: response.statusCode,
      body: parse(response.body),
      headers: response.headers,
    };
  }

  private getHeaders(): Record<string, string> {
    return {authorization: `Bearer ${this.key}`};
  }
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
