import {Result} from 'true-myth';
import {HttpResponse, HttpFailure, sendJson} from '../http/index.js';
import {
  Commit,
  Row,
  Step,
  TableFailure,
  TableFailureKind,
  TableService,
} from './table_service.js';

/** Client of the platform's table service over HTTP with JSON bodies. */
export class HttpTableService implements TableService {
  /**
   * @param url - Base URL of the table service.
   * @param timeoutMs - Time limit per call, in milliseconds.
   */
  constructor(
    private readonly url: string,
    private readonly timeoutMs: number,
  ) {}

  /** This table is never restored from a copy. */
  getEra(): number {
    return 0;
  }

  async get(key: string): Promise<Result<Row | undefined, TableFailure>> {
    const answer = await sendJson({
      method: 'GET',
      url: `${this.url}/rows/${encodeURIComponent(key)}`,
      timeoutMs: this.timeoutMs,
    });
    if (answer.isOk && answer.value.status === 404) {
      return Result.ok(undefined);
    }
    return readAnswer<Row>(answer);
  }

  async list(prefix: string): Promise<Result<readonly Row[], TableFailure>> {
    const answer = await sendJson({
      method: 'GET',
      url: `${this.url}/rows?prefix=${encodeURIComponent(prefix)}`,
      timeoutMs: this.timeoutMs,
    });
    return readAnswer<readonly Row[]>(answer);
  }

  async transact(
    steps: readonly Step[],
  ): Promise<Result<Commit, TableFailure>> {
    const answer = await sendJson({
      method: 'POST',
      url: `${this.url}/transactions`,
      json: {steps},
      timeoutMs: this.timeoutMs,
    });
    if (answer.isOk && answer.value.status === 412) {
      const body = answer.value.body as {rows: readonly Row[]} | undefined;
      return Result.err({
        kind: TableFailureKind.CONFLICT,
        detail: 'a row does not have the expected version',
        ...(body === undefined ? {} : {rows: body.rows}),
      });
    }
    return readAnswer<Commit>(answer);
  }
}

function readAnswer<T>(
  answer: Result<HttpResponse, HttpFailure>,
): Result<T, TableFailure> {
  if (answer.isErr) {
    return Result.err({
      kind: answer.error.unreached
        ? TableFailureKind.UNREACHED
        : TableFailureKind.UNANSWERED,
      detail: answer.error.detail,
    });
  }
  if (answer.value.status !== 200) {
    return Result.err({
      // A gateway may answer 5xx although the write was committed.
      kind: TableFailureKind.UNANSWERED,
      detail: `unexpected status ${answer.value.status}`,
    });
  }
  if (answer.value.body === undefined) {
    return Result.err({
      kind: TableFailureKind.UNANSWERED,
      detail: 'response body is incomplete or not JSON',
    });
  }
  return Result.ok(answer.value.body as T);
}
