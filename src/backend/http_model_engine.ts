import {got} from 'got';
import {Result} from 'true-myth';
import {HttpRequest, sendJson, toHttpFailure} from '../http/index.js';
import {loadReportSchema} from './load_report_schema.js';
import {readEventStream} from './event_stream.js';
import {
  CacheEvent,
  CacheExport,
  EngineCommand,
  GenerationFormat,
  GenerationAttempt,
  LoadReport,
  ModelEngine,
  Token,
} from './model_engine.js';
import {DeliveryState, ServerFailure} from './server_failure.js';

const CONTROL_TIMEOUT_MS = 2000;
const CONNECT_TIMEOUT_MS = 1000;
const STREAM_END_MARKER = '[DONE]';

/** Chunk of a streamed completion; `request_id` and `position` are extensions of the engine. */
interface CompletionChunk {
  readonly request_id?: string;
  readonly position?: number;
  readonly choices?: readonly [
    {
      readonly text?: string;
      readonly delta?: {readonly content?: string};
      readonly finish_reason?: string | null;
    },
  ];
}

/** Client of a model engine that implements the completions protocol over HTTP. */
export class HttpModelEngine implements ModelEngine {
  /** @param url - Base URL of the server. */
  constructor(private readonly url: string) {}

  async *generate(
    order: GenerationAttempt,
    signal: AbortSignal,
  ): AsyncGenerator<Token> {
    const stream = got.stream.post(this.getGenerationUrl(order.format), {
      json: {
        ...order.body,
        stream: true,
        request_id: order.requestId,
        continuation: order.continuation,
        priority: order.urgency,
      },
      retry: {limit: 0},
      // Whoever runs the generation ends a silent stream, by the signal.
      timeout: {connect: CONNECT_TIMEOUT_MS},
    });
    const abort = () => stream.destroy();
    signal.addEventListener('abort', abort, {once: true});
    try {
      yield* readTokens(stream, order.continuation.length);
    } catch (error) {
      if (error instanceof ServerFailure) {
        throw error;
      }
      const failure = toHttpFailure(error);
      const reach = failure.unreached
        ? DeliveryState.NOT_SENT
        : DeliveryState.SENT;
      throw new ServerFailure(reach, failure.detail);
    } finally {
      signal.removeEventListener('abort', abort);
      stream.destroy();
    }
  }

  async getLoad(): Promise<Result<LoadReport, ServerFailure>> {
    const url = `${this.url}/load`;
    const answer = await this.sendControlRequest<unknown>({method: 'GET', url});
    return answer.andThen(body => {
      const parsed = loadReportSchema.safeParse(body);
      if (parsed.success) {
        return Result.ok<LoadReport, ServerFailure>(parsed.data);
      }
      // Load reports are forwarded to all peers, so an invalid one is rejected.
      const [issue] = parsed.error.issues;
      const detail = `invalid load report: ${issue?.path.join('.')}: ${issue?.message}`;
      return Result.err<LoadReport, ServerFailure>(
        new ServerFailure(DeliveryState.SENT, detail),
      );
    });
  }

  listCacheEvents(
    after: number,
  ): Promise<Result<readonly CacheEvent[], ServerFailure>> {
    const url = `${this.url}/cache-events?after=${after}`;
    return this.sendControlRequest({method: 'GET', url});
  }

  exportCache(requestId: string): Promise<Result<CacheExport, ServerFailure>> {
    return this.sendControlRequest({
      method: 'POST',
      url: `${this.url}/kv/export`,
      json: {request_id: requestId},
    });
  }

  importCache(cache: CacheExport): Promise<Result<void, ServerFailure>> {
    return this.sendControlRequest({
      method: 'POST',
      url: `${this.url}/kv/import`,
      json: cache,
    });
  }

  sendCommand(order: EngineCommand): Promise<Result<void, ServerFailure>> {
    return this.sendControlRequest({
      method: 'POST',
      url: `${this.url}/orders`,
      json: order,
    });
  }

  private getGenerationUrl(format: GenerationFormat): string {
    return format === GenerationFormat.CHAT
      ? `${this.url}/v1/chat/completions`
      : `${this.url}/v1/completions`;
  }

  private async sendControlRequest<T>(
    request: Omit<HttpRequest, 'timeoutMs'>,
  ): Promise<Result<T, ServerFailure>> {
    const answer = await sendJson({...request, timeoutMs: CONTROL_TIMEOUT_MS});
    if (answer.isErr) {
      const reach = answer.error.unreached
        ? DeliveryState.NOT_SENT
        : DeliveryState.SENT;
      return Result.err(new ServerFailure(reach, answer.error.detail));
    }
    if (answer.value.status >= 300) {
      const detail = `unexpected status ${answer.value.status} from ${request.url}`;
      return Result.err(new ServerFailure(DeliveryState.SENT, detail));
    }
    return Result.ok(answer.value.body as T);
  }
}

async function* readTokens(
  stream: AsyncIterable<Uint8Array>,
  firstPosition: number,
): AsyncGenerator<Token> {
  let position = firstPosition;
  for await (const data of readEventStream(stream)) {
    if (data === STREAM_END_MARKER) {
      return;
    }
    const token = readToken(data, position);
    position = token.position + 1;
    yield token;
  }
  throw new ServerFailure(
    DeliveryState.SENT,
    'token stream ended before the [DONE] marker',
  );
}

function readToken(data: string, position: number): Token {
  let chunk: CompletionChunk;
  try {
    chunk = JSON.parse(data) as CompletionChunk;
  } catch {
    throw new ServerFailure(
      DeliveryState.SENT,
      'chunk of the token stream is not valid JSON',
    );
  }
  const choice = chunk.choices?.[0];
  if (choice === undefined) {
    throw new ServerFailure(
      DeliveryState.SENT,
      'chunk of the token stream has no choices',
    );
  }
  const finishReason = choice.finish_reason ?? undefined;
  return {
    requestId: chunk.request_id ?? '',
    position: chunk.position ?? position,
    text: choice.text ?? choice.delta?.content ?? '',
    ...(finishReason === undefined ? {} : {finishReason}),
  };
}
