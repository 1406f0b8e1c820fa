import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';
import {Result} from 'true-myth';
import {Log} from '../log/index.js';
import {
  BodyFailure,
  BodyMemory,
  BodyReader,
  closeUnlessComplete,
} from '../http/index.js';
import {Metrics} from '../metrics/index.js';
import {Relay, RelayRequest} from '../relay/index.js';
import {Clock} from '../time/index.js';
import {
  DeclineReason,
  ForwardRequest,
  forwardRequestSchema,
} from './forward_frame.js';
import {isValidProof, PROOF_HEADER} from './forward_proof.js';
import {ForwardedAnswer} from './forwarded_answer.js';
import {parseHead} from './read_head.js';

/** Dependencies of a `ForwardListener`. */
export interface ForwardListenerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Key shared by all peers. */
  readonly key: string;
  readonly relay: Pick<Relay, 'serveForwarded'>;
  /** Returns whether this host knows the configuration and the servers. */
  readonly isInitialized: () => boolean;
  /** Returns whether this host is overloaded. */
  readonly isOverloaded: () => boolean;
  /** Memory for the requests, until they are answered. */
  readonly bodyMemory: BodyMemory;
  /** Returns the longest body of a request, in bytes. */
  readonly getMaxBodyBytes: () => number;
}

/** Largest head of a request, in bytes: its headers and the parts of its prompt. */
const MAX_HEAD_BYTES = 524_288;
/**
 * Time in which a request has to arrive, in milliseconds: the largest takes 4 s at 10 Mbit/s. The
 * deadline of its caller is not known before.
 */
const RECEIVE_TIMEOUT_MS = 8000;
/** Forwarded requests that are served at a time. */
const MAX_REQUESTS = 512;
/** A request that has arrived. */
interface ReceivedRequest {
  readonly head: ForwardRequest;
  readonly body: Buffer;
}

/** Created once: an error per request would cost a stack trace each. */
const CANCELLED = new Error('the other host cancelled the request');

/**
 * Takes requests that other hosts forward, and serves them from the servers that this host
 * reaches. Each connection carries one request at a time, so that a slow reader holds up
 * only its own answer, and no heartbeat waits behind a body.
 */
export class ForwardListener {
  private readonly server: Server;
  /** Connections on which a request is served; each carries one at a time. */
  private readonly busy = new Set<Socket>();
  private isDraining = false;

  constructor(private readonly options: ForwardListenerOptions) {
    this.server = createServer(
      {keepAlive: true, noDelay: true, requestTimeout: 0},
      (message, response) => void this.serve(message, response),
    );
    const {metrics} = options;
    metrics.addCounter(
      'forwards_received',
      'Requests forwarded by other hosts, by whether they were taken',
    );
    metrics.addGauge(
      'forwards_in_flight',
      'Requests of other hosts that this host serves now',
      () => this.busy.size,
    );
  }

  /** Starts to accept connections. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port}, resolve);
    });
  }

  /** Returns the number of connections on which a request is being read or answered. */
  countBusyConnections(): number {
    return this.busy.size;
  }

  /** Declines further requests; those in progress continue. */
  startDraining(): void {
    this.isDraining = true;
  }

  /**
   * Accepts no more connections. Idle ones stay open until `stop`: a request that crossed their
   * end would count as lost at the host that forwarded it, though it was not run.
   */
  stopListening(): void {
    // The method of node:http would close the idle connections.
    NetServer.prototype.close.call(this.server);
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {socket} = message;
    response.sendDate = false;
    const length = message.headers['content-length'];
    if (length === undefined) {
      // Hosts state the length. A body without one may not end.
      socket.destroy();
      return;
    }
    const bytes = Number(length);
    this.busy.add(socket);
    response.once('close', () => this.busy.delete(socket));
    const answer = new ForwardedAnswer(response);
    try {
      const reason = this.getDeclineReason(bytes);
      if (reason !== undefined) {
        this.decline(message, answer, reason);
        return;
      }
      await this.handle(message, response, answer);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.options.log.error('forward_failed', {detail});
      answer.disconnect();
    }
  }

  private getDeclineReason(bytes: number): DeclineReason | undefined {
    const {isInitialized, isOverloaded, getMaxBodyBytes} = this.options;
    if (this.isDraining || !isInitialized()) {
      return DeclineReason.STOPPING;
    }
    if (bytes > getMaxBodyBytes() + MAX_HEAD_BYTES) {
      return DeclineReason.INVALID;
    }
    return this.busy.size > MAX_REQUESTS || isOverloaded()
      ? DeclineReason.BUSY
      : undefined;
  }

  private decline(
    message: IncomingMessage,
    answer: ForwardedAnswer,
    reason: DeclineReason,
  ): void {
    this.options.metrics.increment('forwards_received', {result: reason});
    // The rest of the request is read, so that the answer is not lost in a reset.
    message.resume();
    answer.decline(reason);
  }

  private async handle(
    message: IncomingMessage,
    response: ServerResponse,
    answer: ForwardedAnswer,
  ): Promise<void> {
    const {relay, metrics} = this.options;
    const received = await this.receive(message, response);
    if (received.isErr) {
      response.once('finish', () => closeUnlessComplete(message));
      this.decline(message, answer, received.error);
      return;
    }
    const {head, body} = received.value;
    metrics.increment('forwards_received', {result: 'taken'});
    const cancelled = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) {
        cancelled.abort(CANCELLED);
      }
    });
    const request = this.createRequest(head, body);
    const attempts = {
      excluded: head.excluded,
      onServer: answer.setServer.bind(answer),
      onRejected: answer.setRejected.bind(answer),
      ...(head.boundVersion === undefined
        ? {}
        : {boundVersion: head.boundVersion}),
    };
    await relay.serveForwarded(
      request,
      head.service,
      answer,
      cancelled.signal,
      attempts,
    );
  }

  /** Reads a request; returns why it is declined if it is incomplete or not from a peer. */
  private async receive(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<Result<ReceivedRequest, DeclineReason>> {
    const {clock, bodyMemory, getMaxBodyBytes} = this.options;
    const reader = new BodyReader(message, {
      maxBytes: getMaxBodyBytes() + MAX_HEAD_BYTES,
      memory: bodyMemory,
      onEvicted: () => undefined,
    });
    response.once('close', () => reader.release());
    const cancel = clock.startTimer(RECEIVE_TIMEOUT_MS, () => reader.expire());
    const taken = await reader.take();
    cancel();
    if (taken.isErr) {
      return Result.err(
        taken.error === BodyFailure.NO_MEMORY
          ? DeclineReason.BUSY
          : DeclineReason.INVALID,
      );
    }
    const head = parseHead(taken.value, MAX_HEAD_BYTES);
    const parsed = forwardRequestSchema.safeParse(head?.value);
    if (head === undefined || !parsed.success) {
      return Result.err(DeclineReason.INVALID);
    }
    const proof = String(message.headers[PROOF_HEADER] ?? '');
    if (!isValidProof(this.options.key, head.bytes, proof)) {
      this.options.log.warn('forward_unproved', {from: parsed.data.from});
      return Result.err(DeclineReason.INVALID);
    }
    return Result.ok({head: parsed.data, body: head.rest});
  }

  private createRequest(head: ForwardRequest, body: Buffer): RelayRequest {
    const nowMs = this.options.clock.monotonicMs();
    const {id, method, path, headers, customer, lastEventId, from} = head;
    return {
      id,
      method,
      path,
      headers,
      body,
      forwardedBy: from,
      route: {
        ...head.route,
        host: '',
        prefix: '',
        // The first host decides whether another attempt follows.
        maxAttempts: 1,
        isPublic: customer === undefined,
        split: [],
      },
      ...(customer === undefined
        ? {}
        : {
            account: {
              name: customer.name,
              keys: [],
              // Admitted, and counted against its rate, by the first host.
              rate: {perSecond: 0, burst: 0, inTokens: false, plainTokens: 0},
              ...(customer.urgency === undefined
                ? {}
                : {urgency: customer.urgency}),
            },
          }),
      prompt: {
        ...head.prompt,
        parts: head.prompt.parts.map(([part, tokens]) => ({id: part, tokens})),
      },
      arrivedMs: nowMs - head.elapsedMs,
      deadlineMs: nowMs + head.remainingMs,
      ...(lastEventId === undefined ? {} : {lastEventId}),
    };
  }
}
