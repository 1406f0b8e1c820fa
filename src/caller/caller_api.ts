import express, {
  ErrorRequestHandler,
  Express,
  Request,
  Response,
} from 'express';
import {GenerationFormat} from '../backend/index.js';
import {Problem, problems, ProblemError} from '../errors/index.js';
import {
  CallerContext,
  CallerRequest,
  authenticate,
  listUsableDeployments,
} from './caller_context.js';
import {GenerationHandler} from './generation_handler.js';
import {RequestHandler} from './request_handler.js';
import {sendProblem} from './send_problem.js';
import {ServiceHandler} from './service_handler.js';

const BAD_REQUEST = 400;
const PAYLOAD_TOO_LARGE = 413;

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
    app.use(
      express.raw({type: () => true, limit: this.context.limits.maxBodyBytes}),
    );
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
      await handle(authenticate(this.context, request, response));
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
      const {status, message} = error as {status?: number; message?: string};
      sendProblem(response, this.toProblem(status, message ?? ''));
      if (status === undefined) {
        this.context.log.error('request_failed', {
          path: getPathLabel(request),
          detail: message,
        });
      }
    };
  }

  private toProblem(status: number | undefined, message: string): Problem {
    if (status === PAYLOAD_TOO_LARGE) {
      return problems.bodyTooLarge(this.context.limits.maxBodyBytes);
    }
    return status === BAD_REQUEST
      ? problems.bodyInvalid(message)
      : problems.serverFailed('internal error of this host');
  }
}

/** Returns the route without ids, which keeps the number of metric labels small. */
function getPathLabel(request: Request): string {
  const [, first = '', second = ''] = request.originalUrl
    .split('?')[0]!
    .split('/');
  return `/${first}/${first === 'v1' ? second : ''}`;
}
