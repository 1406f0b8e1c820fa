import express, {
  ErrorRequestHandler,
  Express,
  NextFunction,
  Request,
  Response,
} from 'express';
import {getKeyHash, readBody, sendProblem} from '../caller/index.js';
import {
  ConfigurationStore,
  convertRecord,
  CURRENT_SCHEMA_VERSION,
  getRecordKey,
  RecordKind,
  SCHEMA_VERSIONS,
  StoredRecord,
} from '../configuration/index.js';
import {Problem, problems, ProblemError} from '../errors/index.js';
import {BodyMemory} from '../http/index.js';
import {Metrics} from '../metrics/index.js';
import {Clock} from '../time/index.js';
import {createOpenApi} from './openapi.js';
import {RecordChange, RecordChanges} from './record_changes.js';
import {SystemStatus} from './system_status.js';

/** Dependencies and settings of the operators' interface. */
export interface OperatorApiOptions {
  readonly clock: Clock;
  /** Memory for the bodies of requests. */
  readonly bodyMemory: BodyMemory;
  /** Hashes of the operators' bearer keys. */
  readonly keyHashes: readonly string[];
  readonly store: ConfigurationStore;
  readonly changes: RecordChanges;
  readonly metrics: Metrics;
  readonly getStatus: () => SystemStatus;
  /** Returns the reasons why this host is not ready; empty if it is ready. */
  readonly listUnreadyReasons: () => readonly string[];
  /** Starts or ends the drain of an entry host; resolves to whether it was reached. */
  readonly setDrained: (host: string, on: boolean) => Promise<boolean>;
}

/** Largest request body, in bytes. */
const MAX_BODY_BYTES = 1_048_576;
/** Time in which the body of a request has to arrive, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000;

/** The HTTP interface for operators, the load balancer and metrics collectors. */
export class OperatorApi {
  constructor(private readonly options: OperatorApiOptions) {}

  /** Creates the Express application. */
  createApp(): Express {
    const app = express();
    app.disable('x-powered-by');
    app.disable('etag');
    this.addOpenRoutes(app);
    app.use('/admin', (request, response, next) =>
      this.authorize(request, response, next),
    );
    app.use('/admin', (request, response, next) =>
      this.readDocument(request, response, next),
    );
    this.addRecordRoutes(app);
    this.addHostRoutes(app);
    app.use((_request, response) => {
      sendProblem(response, problems.routeUnknown());
    });
    app.use(handleError);
    return app;
  }

  /** Routes without authentication: load balancer and metrics collectors have no key. */
  private addOpenRoutes(app: Express): void {
    app.get('/health', (_request, response) => {
      response.json({status: 'ok'});
    });
    app.get('/ready', (_request, response) => {
      const unready = this.options.listUnreadyReasons();
      response
        .status(unready.length === 0 ? 200 : 503)
        .json({ready: unready.length === 0, reasons: unready});
    });
    app.get('/metrics', (_request, response) => {
      response
        .type('text/plain; version=0.0.4')
        .send(this.options.metrics.format());
    });
    app.get('/openapi.json', (_request, response) => {
      response.json(createOpenApi());
    });
  }

  private addRecordRoutes(app: Express): void {
    app.get('/admin/v1/records/:kind', (request, response) => {
      this.withKind(request, response, kind => {
        const records = this.options.store
          .listRecords()
          .filter(record => record.kind === kind && record.document !== null);
        const items = records.map(record =>
          toItem(record, readVersion(request)),
        );
        response.json({items, revision: this.options.store.getRevision()});
      });
    });
    app.get('/admin/v1/records/:kind/:name', (request, response) => {
      this.withKind(request, response, kind => {
        const name = String(request.params['name']);
        const record = this.options.store.getRecord(getRecordKey(kind, name));
        if (record === undefined || record.document === null) {
          sendProblem(response, problems.recordUnknown(kind, name));
          return;
        }
        response.setHeader('ETag', toETag(record.revision));
        response.json(toItem(record, readVersion(request)).document);
      });
    });
    app.put('/admin/v1/records/:kind/:name', (request, response) =>
      this.change(request, response, request.body as unknown),
    );
    app.delete('/admin/v1/records/:kind/:name', (request, response) =>
      this.change(request, response, null),
    );
    app.post('/admin/v1/validate', (request, response) => {
      const checked = this.options.changes.validate(request.body);
      if (checked.isErr) {
        sendProblem(response, checked.error);
        return;
      }
      response.json({valid: true, document: checked.value});
    });
  }

  private addHostRoutes(app: Express): void {
    app.get('/admin/v1/status', (_request, response) => {
      response.json(this.options.getStatus());
    });
    app.post('/admin/v1/hosts/:host/drain', (request, response) =>
      this.drain(request, response, true),
    );
    app.post('/admin/v1/hosts/:host/undrain', (request, response) =>
      this.drain(request, response, false),
    );
  }

  private authorize(
    request: Request,
    response: Response,
    next: NextFunction,
  ): void {
    const hash = getKeyHash(request.header('authorization'));
    if (hash === undefined || !this.options.keyHashes.includes(hash)) {
      sendProblem(response, {
        ...problems.unauthenticated(),
        remedy:
          'Send "Authorization: Bearer KEY" with a key of operators.key_hashes.',
      });
      return;
    }
    next();
  }

  /** Reads the body of an authorized request as JSON; `undefined` if there is none. */
  private async readDocument(
    request: Request,
    response: Response,
    next: NextFunction,
  ): Promise<void> {
    const {clock, bodyMemory} = this.options;
    const body = await readBody(request, response, {
      clock,
      memory: bodyMemory,
      maxBytes: MAX_BODY_BYTES,
      timeoutMs: BODY_TIMEOUT_MS,
    });
    request.body = body.length === 0 ? undefined : parseJson(body);
    next();
  }

  private withKind(
    request: Request,
    response: Response,
    handle: (kind: RecordKind) => void,
  ): void {
    const kind = findKind(String(request.params['kind']));
    if (kind === undefined) {
      sendProblem(response, createUnknownKindProblem());
      return;
    }
    handle(kind);
  }

  private async change(
    request: Request,
    response: Response,
    document: unknown,
  ): Promise<void> {
    const kind = findKind(String(request.params['kind']));
    const madeOn = readPrecondition(request);
    if (kind === undefined || madeOn === undefined) {
      sendProblem(
        response,
        kind === undefined
          ? createUnknownKindProblem()
          : problems.preconditionRequired(),
      );
      return;
    }
    const changed = await this.options.changes.apply({
      kind,
      name: String(request.params['name']),
      document,
      madeOn,
      force: request.query['force'] === 'true',
    });
    if (changed.isErr) {
      sendProblem(response, changed.error);
      return;
    }
    sendChange(response, changed.value);
  }

  private async drain(
    request: Request,
    response: Response,
    on: boolean,
  ): Promise<void> {
    const host = String(request.params['host']);
    const reached = await this.options.setDrained(host, on);
    if (!reached) {
      sendProblem(response, problems.recordUnknown('host', host));
      return;
    }
    response.json({host, draining: on});
  }
}

/**
 * Sends the result of a change: 200 if it is in force in every data centre, 202 if
 * a data centre has not confirmed it yet.
 */
function sendChange(response: Response, change: RecordChange): void {
  const {record, report} = change;
  response.setHeader('ETag', toETag(record.revision));
  const everywhere = report.pending.length === 0;
  response.status(everywhere ? 200 : 202).json({
    revision: record.revision,
    state: everywhere ? 'in-force' : 'pending',
    in_force: report.inForce,
    pending: report.pending.map(pending => ({
      data_centre: pending.dataCentre,
      hosts: pending.hosts,
    })),
  });
}

function toItem(
  record: StoredRecord,
  version: number | undefined,
): {name: string; revision: number; document: unknown} {
  const document =
    version === undefined || record.document === null
      ? record.document
      : convertRecord(record.document, version).unwrapOr(record.document);
  return {name: record.name, revision: record.revision, document};
}

function readVersion(request: Request): number | undefined {
  const wanted = Number(request.query['schema_version']);
  return SCHEMA_VERSIONS.find(known => known === wanted) === undefined
    ? request.query['schema_version'] === 'current'
      ? CURRENT_SCHEMA_VERSION
      : undefined
    : wanted;
}

/**
 * Reads the revision that a change is based on from If-Match; 0 for a new record
 * (`If-None-Match: *`), `undefined` if neither header is valid.
 */
function readPrecondition(request: Request): number | undefined {
  if (request.header('if-none-match') === '*') {
    return 0;
  }
  const match = /^"r(\d+)"$/.exec(request.header('if-match') ?? '');
  return match?.[1] === undefined ? undefined : Number(match[1]);
}

function toETag(revision: number): string {
  return `"r${revision}"`;
}

function findKind(text: string): RecordKind | undefined {
  return Object.values(RecordKind).find(kind => `${kind}s` === text);
}

function createUnknownKindProblem(): Problem {
  const kinds = Object.values(RecordKind).map(kind => `${kind}s`);
  return {
    ...problems.routeUnknown(),
    detail: 'There is no such kind of record.',
    remedy: `Use one of: ${kinds.join(', ')}.`,
  };
}

const handleError: ErrorRequestHandler = (
  error: unknown,
  _request,
  response,
  next,
) => {
  if (response.headersSent) {
    next(error);
    return;
  }
  const {message} = error as {message?: string};
  sendProblem(
    response,
    error instanceof ProblemError
      ? error.problem
      : problems.bodyInvalid(message ?? 'it could not be parsed'),
  );
};

/** @throws ProblemError - If the body is not a document in JSON. */
function parseJson(body: Buffer): unknown {
  let document: unknown;
  try {
    document = JSON.parse(body.toString());
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    throw new ProblemError(problems.bodyInvalid(detail));
  }
  if (typeof document !== 'object' || document === null) {
    throw new ProblemError(problems.bodyInvalid('it is no document'));
  }
  return document;
}
