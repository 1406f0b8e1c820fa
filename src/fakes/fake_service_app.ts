import express, {Express, Request, Response} from 'express';
import {ServiceAnswer} from '../backend/index.js';
import {Clock} from '../time/index.js';
import {FakeService} from './fake_service.js';
import {BackendFault, backendFaultSchema} from './fault_settings.js';
import {injectFault} from './inject_fault.js';

/** HTTP interface of a fake service, with faults that can be changed while it runs. */
export class FakeServiceApp {
  private faults: BackendFault = backendFaultSchema.parse({});

  constructor(
    private readonly service: FakeService,
    private readonly clock: Clock,
  ) {}

  /** Creates the express app with all routes. */
  createApp(): Express {
    const app = express();
    app.put('/faults', express.json(), (request, response) => {
      this.faults = backendFaultSchema.parse(request.body);
      response.json(this.faults);
    });
    app.get('/runs', (_request, response) => {
      response.json(Object.fromEntries(this.service.runs));
    });
    app.get('/health', (_request, response) => {
      response.json({status: 'ok'});
    });
    app.get('/outcomes/:key', async (request, response) => {
      const key = String(request.params['key']);
      const outcome = await this.service.getOutcome(key);
      if (outcome.isErr || outcome.value === undefined) {
        response.status(outcome.isErr ? 501 : 404).end();
        return;
      }
      this.sendAnswer(request, response, outcome.value);
    });
    const getFaultState = () => ({
      fault: this.faults.requests,
      slowMs: this.faults.slowMs,
    });
    app.use(
      express.raw({type: () => true, limit: '16mb'}),
      injectFault(this.clock, getFaultState, (request, response) =>
        this.handleCall(request, response),
      ),
    );
    return app;
  }

  private async handleCall(
    request: Request,
    response: Response,
  ): Promise<void> {
    const key = request.header('idempotency-key');
    const answer = await this.service.send({
      requestId: request.header('x-request-id') ?? '',
      method: request.method,
      path: request.originalUrl,
      contentType: request.header('content-type') ?? '',
      body: Buffer.isBuffer(request.body) ? request.body : new Uint8Array(),
      ...(key === undefined ? {} : {key}),
    });
    if (answer.isOk) {
      this.sendAnswer(request, response, answer.value);
    }
  }

  private sendAnswer(
    request: Request,
    response: Response,
    answer: ServiceAnswer,
  ): void {
    const answeredRequestId = this.faults.crossAnswers
      ? 'another-request'
      : request.header('x-request-id');
    if (answeredRequestId !== undefined) {
      response.setHeader('x-request-id', answeredRequestId);
    }
    response
      .status(answer.status)
      .type(answer.contentType)
      .end(Buffer.from(answer.body));
  }
}
