import express, {Express, Request, Response} from 'express';
import {
  EngineCommand,
  GenerationFormat,
  GenerationAttempt,
  Token,
} from '../backend/index.js';
import {Clock} from '../time/index.js';
import {FakeEngine} from './fake_engine.js';
import {BackendFault, backendFaultSchema, Fault} from './fault_settings.js';
import {injectFault} from './inject_fault.js';

const MAX_BODY = '16mb';

/** HTTP interface of a fake engine, with faults that can be changed while it runs. */
export class FakeEngineApp {
  private faults: BackendFault = backendFaultSchema.parse({});

  constructor(
    private readonly engine: FakeEngine,
    private readonly clock: Clock,
  ) {}

  /** Creates the express app with all routes. */
  createApp(): Express {
    const app = express();
    app.use(express.json({limit: MAX_BODY}));
    this.addGenerations(app);
    this.addControl(app);
    app.put('/faults', (request, response) => {
      this.faults = backendFaultSchema.parse(request.body);
      this.engine.checksFence = this.faults.checkFence;
      response.json(this.faults);
    });
    app.get('/counts', (_request, response) => {
      response.json(this.engine.counts);
    });
    return app;
  }

  private addGenerations(app: Express): void {
    const getFaultState = () => ({
      fault: this.faults.requests,
      slowMs: this.faults.slowMs,
    });
    app.post(
      '/v1/completions',
      injectFault(this.clock, getFaultState, (request, response) =>
        this.stream(GenerationFormat.TEXT, request, response),
      ),
    );
    app.post(
      '/v1/chat/completions',
      injectFault(this.clock, getFaultState, (request, response) =>
        this.stream(GenerationFormat.CHAT, request, response),
      ),
    );
  }

  private addControl(app: Express): void {
    app.get('/load', async (_request, response) => {
      if (this.faults.requests === Fault.DOWN) {
        response.socket?.destroy();
        return;
      }
      response.json((await this.engine.getLoad()).unwrapOr(undefined));
    });
    app.get('/cache-events', async (request, response) => {
      const after = Number(request.query['after'] ?? 0);
      const events = await this.engine.listCacheEvents(after);
      response.json(events.unwrapOr([]));
    });
    app.post('/kv/export', async (request, response) => {
      const {request_id: id} = request.body as {request_id: string};
      const exported = await this.engine.exportCache(id);
      if (exported.isErr) {
        response.status(404).json({detail: exported.error.message});
        return;
      }
      response.json(exported.value);
    });
    app.post('/kv/import', async (request, response) => {
      await this.engine.importCache(
        request.body as {handle: string; tokens: number},
      );
      response.json({});
    });
    app.post('/orders', async (request, response) => {
      const executed = await this.engine.sendCommand(
        request.body as EngineCommand,
      );
      if (executed.isErr) {
        response.status(409).json({detail: executed.error.message});
        return;
      }
      response.json({});
    });
  }

  private async stream(
    format: GenerationFormat,
    request: Request,
    response: Response,
  ): Promise<void> {
    const attempt = parseAttempt(
      format,
      request.body as Record<string, unknown>,
    );
    const disconnected = new AbortController();
    response.on('close', () => disconnected.abort());
    response.type('text/event-stream');
    response.flushHeaders();
    let sent = 0;
    try {
      for await (const token of this.engine.generate(
        attempt,
        disconnected.signal,
      )) {
        response.write(
          `data: ${JSON.stringify(this.toChunk(format, token))}\n\n`,
        );
        sent++;
        if (this.faults.breakAfterTokens === sent) {
          await this.interruptStream(response);
          return;
        }
      }
      response.end('data: [DONE]\n\n');
    } catch {
      response.destroy();
    }
  }

  private async interruptStream(response: Response): Promise<void> {
    if (this.faults.breakSilently) {
      await new Promise(resolve => response.on('close', resolve));
      return;
    }
    response.destroy();
  }

  private toChunk(format: GenerationFormat, token: Token): unknown {
    const finish_reason = token.finishReason ?? null;
    const choice =
      format === GenerationFormat.CHAT
        ? {index: 0, delta: {content: token.text}, finish_reason}
        : {index: 0, text: token.text, finish_reason};
    const wrongRequestId = this.faults.crossAnswers
      ? 'another-request'
      : undefined;
    return {
      id: token.requestId,
      request_id: wrongRequestId ?? token.requestId,
      position: token.position,
      choices: [choice],
    };
  }
}

function parseAttempt(
  format: GenerationFormat,
  body: Record<string, unknown>,
): GenerationAttempt {
  return {
    requestId: String(body['request_id']),
    format,
    body,
    continuation: (body['continuation'] as string[] | undefined) ?? [],
    urgency: Number(body['priority'] ?? 3),
  };
}
