import {ClientRequest, IncomingMessage, request} from 'node:http';
import {Framing} from '../answer/index.js';
import {ExecutionStatus} from '../errors/index.js';
import {
  AnswerBody,
  ConnectionPool,
  limitOverhead,
  parseAddress,
  whenConnected,
} from '../http/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {encodeFrame} from '../peer/index.js';
import {ExchangeKind, ExchangeResult, ForwardParams} from '../relay/index.js';
import {Clock} from '../time/index.js';
import {
  DeclineReason,
  ForwardRequest,
  ForwardResponse,
  forwardResponseSchema,
} from './forward_frame.js';
import {computeForwardProof, PROOF_HEADER} from './forward_proof.js';
import {ForwardTarget, ForwardTargets} from './forward_targets.js';
import {readHead} from './read_head.js';

/** Dependencies of a `ForwardClient`. */
export interface ForwardClientOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Name of this host. */
  readonly self: string;
  /** Key shared by all peers. */
  readonly key: string;
  readonly targets: ForwardTargets;
}

/** Result of sending a request to one host. */
type HostResult = ExchangeResult | {readonly declined: string};

/** Hosts that are tried for one request. */
const MAX_HOSTS = 6;
/** Longest wait for a connection to a host, in milliseconds. */
const CONNECT_TIMEOUT_MS = 200;
/** Longest time that a connection to a host is kept idle, in milliseconds. */
const MAX_IDLE_MS = 2000;
/** Largest head of a response, in bytes. */
const MAX_HEAD_BYTES = 262_144;
/** Time for which a host is avoided that could not be reached or does not take requests. */
const AVOID_MS = 1000;
/** Time for which a host is avoided that has no capacity to spare, in milliseconds. */
const AVOID_BUSY_MS = 100;
const OK = 200;

/**
 * Forwards requests to other hosts, which send them to servers that this host cannot reach.
 * A host that declines has sent nothing to a server, so another one is tried.
 */
export class ForwardClient {
  private readonly pools = new Map<string, ConnectionPool>();

  constructor(private readonly options: ForwardClientOptions) {
    options.metrics.addCounter(
      'forwarded',
      'Requests forwarded to other hosts, by result',
    );
  }

  /** See `Forward`. */
  async send(
    params: ForwardParams,
    signal: AbortSignal,
  ): Promise<ExchangeResult> {
    const {targets, metrics, log} = this.options;
    for (let tried = 0; tried < MAX_HOSTS && !signal.aborted; tried++) {
      const target = targets.choose(params.service);
      if (target === undefined) {
        break;
      }
      const result = await this.sendTo(target, params, signal);
      const outcome = 'declined' in result ? result.declined : result.kind;
      metrics.increment('forwarded', {
        service: params.service,
        result: outcome,
      });
      log.info('forward', {
        request: params.request.id,
        service: params.service,
        to: target.host,
        result: outcome,
        server: 'server' in result ? result.server : undefined,
      });
      if ('kind' in result) {
        if (result.kind !== ExchangeKind.LOST) {
          targets.readmit(target, params.service);
        }
        return result;
      }
      if (signal.aborted) {
        // A cancelled request says nothing about the host.
        break;
      }
      this.avoid(target, result.declined, params.service);
    }
    return {
      kind: ExchangeKind.NOT_RUN,
      detail: 'no other host takes the request',
      unsent: true,
      refusal: params.refusal,
    };
  }

  private avoid(target: ForwardTarget, reason: string, service: string): void {
    const {targets} = this.options;
    switch (reason) {
      case DeclineReason.BUSY:
        targets.avoid(target, AVOID_BUSY_MS);
        return;
      case DeclineReason.NO_SLOT:
        targets.avoid(target, AVOID_BUSY_MS, service);
        return;
      case DeclineReason.UNREACHABLE:
        targets.avoid(target, AVOID_MS, service);
        return;
      default:
        targets.avoid(target, AVOID_MS);
    }
  }

  private async sendTo(
    target: ForwardTarget,
    params: ForwardParams,
    signal: AbortSignal,
  ): Promise<HostResult> {
    const end = this.options.targets.begin(target);
    const head = encodeFrame(this.createHead(params));
    const proof = computeForwardProof(this.options.key, head);
    const {body} = params.request;
    const clientRequest = request({
      ...parseAddress(target.address),
      method: 'POST',
      path: '/forward',
      agent: this.getPool(target.address),
      headers: {
        'Content-Length': head.length + body.length,
        [PROOF_HEADER]: proof,
      },
    });
    clientRequest.once('close', end);
    const abort = () => clientRequest.destroy(new Error('cancelled'));
    signal.addEventListener('abort', abort, {once: true});
    clientRequest.once('close', () =>
      signal.removeEventListener('abort', abort),
    );
    if (signal.aborted) {
      abort();
    }
    return this.exchange(clientRequest, params, [head, body]);
  }

  private exchange(
    clientRequest: ClientRequest,
    params: ForwardParams,
    message: readonly Uint8Array[],
  ): Promise<HostResult> {
    return new Promise(resolve => {
      let mayHaveSent = false;
      clientRequest.on('error', error =>
        resolve(
          mayHaveSent
            ? {kind: ExchangeKind.LOST, detail: error.message}
            : {declined: `not sent: ${error.message}`},
        ),
      );
      clientRequest.once(
        'response',
        response => void readResponse(clientRequest, response).then(resolve),
      );
      whenConnected(clientRequest, CONNECT_TIMEOUT_MS, () => {
        if (clientRequest.destroyed) {
          return;
        }
        if (!params.maySend()) {
          resolve({
            kind: ExchangeKind.NOT_RUN,
            detail: 'not sent: the caller left or the deadline passed',
            notAccepting: true,
          });
          clientRequest.destroy();
          return;
        }
        mayHaveSent = true;
        limitOverhead(clientRequest);
        for (const bytes of message) {
          clientRequest.write(bytes);
        }
        clientRequest.end();
      });
    });
  }

  private createHead(params: ForwardParams): ForwardRequest {
    const {
      request: relayed,
      service,
      excluded,
      lastEventId,
      boundVersion,
    } = params;
    const {id, method, path, headers, route, account, prompt} = relayed;
    const {urgency} = account ?? {};
    return {
      from: this.options.self,
      id,
      method,
      path,
      headers: headers.map(([name, value]) => [name, value] as const),
      route: {
        name: route.name,
        repeat: route.repeat,
        streaming: route.streaming,
        timeoutMs: route.timeoutMs,
        targetMs: route.targetMs,
        gapTargetMs: route.gapTargetMs,
        urgency: route.urgency,
      },
      service,
      ...(account === undefined
        ? {}
        : {
            customer: {
              name: account.name,
              ...(urgency === undefined ? {} : {urgency}),
            },
          }),
      prompt: {
        ...prompt,
        parts: prompt.parts.map(({id: part, tokens}) => [part, tokens]),
      },
      elapsedMs: Math.max(
        0,
        this.options.clock.monotonicMs() - relayed.arrivedMs,
      ),
      remainingMs: Math.max(0, params.remainingMs),
      ...(lastEventId === undefined ? {} : {lastEventId}),
      ...(boundVersion === undefined ? {} : {boundVersion}),
      excluded: [...excluded],
    };
  }

  private getPool(address: string): ConnectionPool {
    const known = this.pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const pool = new ConnectionPool(() => MAX_IDLE_MS);
    this.pools.set(address, pool);
    return pool;
  }
}

async function readResponse(
  clientRequest: ClientRequest,
  response: IncomingMessage,
): Promise<HostResult> {
  const body = new AnswerBody(response, Framing.CHUNKS);
  try {
    const head = await readHead(body, MAX_HEAD_BYTES);
    const parsed = forwardResponseSchema.safeParse(head?.value);
    if (response.statusCode === OK && parsed.success && head !== undefined) {
      return toResult(parsed.data, head.rest, body);
    }
    clientRequest.destroy();
    return {kind: ExchangeKind.LOST, detail: 'unreadable response of the host'};
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return {kind: ExchangeKind.LOST, detail};
  }
}

function toResult(
  head: ForwardResponse,
  rest: Buffer,
  body: AnswerBody,
): HostResult {
  switch (head.outcome) {
    case 'answered': {
      const {status, headers, server, version} = head;
      return {
        kind: ExchangeKind.ANSWERED,
        status,
        headers,
        framing: Framing.CHUNKS,
        server,
        ...(version === undefined ? {} : {version}),
        body: concat(rest, body),
      };
    }
    case 'refused': {
      void drain(body);
      const {problem, server, rejected} = head;
      const {retryAfterSeconds, ...rest} = problem;
      const refusal = {
        ...rest,
        ...(retryAfterSeconds === undefined ? {} : {retryAfterSeconds}),
      };
      const wasRun = problem.ran !== ExecutionStatus.NOT_EXECUTED;
      return {
        kind: wasRun ? ExchangeKind.LOST : ExchangeKind.NOT_RUN,
        detail: problem.detail,
        server,
        // Without a refusal, the attempt is one that a server has rejected.
        ...(wasRun || rejected === true ? {} : {refusal}),
      };
    }
    case 'declined':
      void drain(body);
      return {declined: head.reason};
  }
}

async function* concat(
  first: Buffer,
  body: AnswerBody,
): AsyncGenerator<Uint8Array> {
  if (first.length > 0) {
    yield first;
  }
  yield* body;
}

/** Reads the end of a response, so that its connection can be used again. */
async function drain(body: AnswerBody): Promise<void> {
  try {
    while ((await body.next()).done !== true) {
      // Nothing follows the head.
    }
  } catch {
    // The connection broke; it is not used again.
  }
}
