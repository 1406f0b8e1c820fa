import express, {
  ErrorRequestHandler,
  Express,
  Request,
  Response,
} from 'express';
import {GenerationFormat} from '../backend/index.js';
import {problems, ProblemError} from '../errors/index.js';
import {
  CallerContext,
  CallerRequest,
  authenticate,
  listUsableDeployments,
} from './caller_context.js';
import {GenerationHandler} from './generation_handler.js';
import {readBody} from './read_body.js';
import {readTimeoutMs} from './request_headers.js';
import {RequestHandler} from './request_handler.js';
import {sendProblem} from './send_problem.js';
import {ServiceHandler} from './service_handler.js';

/** The HTTP interface for callers. */
export class CallerApi {
  constructor(
    private readonly context: CallerContext,
    private readonly generations: GenerationHandler,
    private readonly services: ServiceHandler,
    private readonly requests: RequestHandler,
  ) {}

  /** Creates the Express application. */
  createApp(): Express {
    const app = express();
    app.disable('x-powered-by');
    app.disable('etag');
    this.addRoutes(app);
    app.use((_request, response) => {
      sendProblem(response, problems.routeUnknown());
    });
    app.use(this.createErrorHandler());
    return app;
  }

  private addRoutes(app: Express): void {
    app.post('/v1/chat/completions', (request, response) =>
      this.serve(request, response, caller =>
        this.generations.handle(caller, GenerationFormat.CHAT),
      ),
    );
    app.post('/v1/completions', (request, response) =>
      this.serve(request, response, caller =>
        this.generations.handle(caller, GenerationFormat.TEXT),
      ),
    );
    app.get('/v1/models', (request, response) =>
      this.serve(request, response, caller => this.sendModels(caller)),
    );
    app.post('/v1/request-keys', (request, response) =>
      this.serve(request, response, async caller => {
        caller.response.status(201).json({key: this.context.mintId()});
      }),
    );
    app.get('/v1/requests/:id', (request, response) =>
      this.serve(request, response, caller =>
        this.requests.handleOutcome(caller, String(request.params['id'])),
      ),
    );
    app.get('/v1/requests/:id/events', (request, response) =>
      this.serve(request, response, caller =>
        this.requests.handleEvents(caller, String(request.params['id'])),
      ),
    );
    app.use('/services/:deployment', (request, response) =>
      this.serve(request, response, caller =>
        this.services.handle(
          caller,
          String(request.params['deployment']),
          // Under `app.use`, the URL excludes the mount path.
          request.url,
        ),
      ),
    );
  }

  private async serve(
    request: Request,
    response: Response,
    handle: (caller: CallerRequest) => Promise<void>,
  ): Promise<void> {
    const startMs = this.context.clock.monotonicMs();
    try {
      const caller = authenticate(this.context, request, response);
      request.body = await this.readBody(request, response);
      await handle(caller);
    } catch (error) {
      if (!(error instanceof ProblemError)) {
        throw error;
      }
      this.context.metrics.increment('refusals_total', {
        kind: error.problem.kind,
      });
      sendProblem(response, error.problem);
    } finally {
      const tookMs = this.context.clock.monotonicMs() - startMs;
      this.context.metrics.record('request_seconds', tookMs, {
        path: getPathLabel(request),
      });
    }
  }

  private readBody(request: Request, response: Response): Promise<Buffer> {
    const {clock, bodyMemory, limits} = this.context;
    return readBody(request, response, {
      clock,
      memory: bodyMemory,
      maxBytes: limits.maxBodyBytes,
      timeoutMs: readTimeoutMs(
        request,
        limits.serviceTimeoutMs,
        limits.maxTimeoutMs,
      ).unwrapOr(limits.serviceTimeoutMs),
    });
  }

  private async sendModels(caller: CallerRequest): Promise<void> {
    const data = listUsableDeployments(caller, 'model').map(id => ({
      id,
      object: 'model',
      created: 0,
      owned_by: 'sedgefall',
    }));
    caller.response.json({object: 'list', data});
  }

  private createErrorHandler(): ErrorRequestHandler {
    return (error: unknown, request, response, next) => {
      if (response.headersSent) {
        next(error);
        return;
      }
      const {message} = error as {message?: string};
      sendProblem(
        response,
        problems.serverFailed('internal error of this host'),
      );
      this.context.log.error('request_failed', {
        path: getPathLabel(request),
        detail: message,
      });
    };
  }
}

/** Returns the route without ids, which keeps the number of metric labels small. */
function getPathLabel(request: Request): string {
  const [, first = '', second = ''] = request.originalUrl
    .split('?')[0]!
    .split('/');
  return `/${first}/${first === 'v1' ? second : ''}`;
}
