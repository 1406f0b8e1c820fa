import {Socket} from 'node:net';
import {Result} from 'true-myth';
import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {Envelope, envelopeSchema} from './envelope.js';
import {encodeFrame, FrameReader} from './frame.js';
import {
  computeProof,
  createGreeting,
  Greeting,
  greetingSchema,
  isCompatible,
  isSameProof,
  PeerIdentity,
  proofSchema,
} from './handshake.js';
import {PeerFailure, PeerFailureKind} from './peer_failure.js';

/** Largest frame accepted before the peer is authenticated, in bytes. */
const HANDSHAKE_MAX_FRAME_BYTES = 1024;
const HANDSHAKE_TIMEOUT_MS = 2000;
/**
 * Time by which the timeout of a request is extended at most while a long frame arrives
 * before its reply, in milliseconds: 4 MiB take 3.4 s at 10 Mbit/s.
 */
const MAX_EXTENSION_MS = 5000;

/**
 * Handles one request of a peer. It may send parts before it returns the reply;
 * `signal` is aborted when the peer cancels or the connection closes.
 */
export type PeerHandler = (
  request: unknown,
  from: PeerIdentity,
  sendPart: (part: unknown) => void,
  signal: AbortSignal,
) => Promise<unknown>;

/** Options of a connection, the same for the side that connects and the side that accepts. */
export interface PeerConnectionOptions {
  readonly self: PeerIdentity;
  /** Key shared by all peers. */
  readonly key: string;
  /** Largest frame accepted from a peer, in bytes. */
  readonly maxFrameBytes: number;
  /** Time without received data after which a connection is closed, in milliseconds. */
  readonly idleTimeoutMs: number;
  readonly handle: PeerHandler;
  readonly clock: Clock;
  readonly log: Log;
}

/** A sent request whose reply has not arrived. */
interface PendingRequest {
  readonly onPart: (part: unknown) => void;
  readonly settle: (result: Result<unknown, PeerFailure>) => void;
}

/**
 * One TCP connection to a peer, whichever side opened it.
 *
 * Only `run` reads from the socket, from the handshake until the connection
 * closes.
 */
export class PeerConnection {
  private readonly reader = new FrameReader(HANDSHAKE_MAX_FRAME_BYTES);
  private readonly pending = new Map<number, PendingRequest>();
  private readonly inboundRequests = new Map<number, AbortController>();
  private nextId = 0;
  private peer: PeerIdentity | undefined;
  private closed = false;
  private lastReceivedMs = 0;
  private readonly closeController = new AbortController();

  constructor(
    private readonly socket: Socket,
    private readonly options: PeerConnectionOptions,
  ) {
    socket.setNoDelay(true);
    // The read loop in `readFrames` reports errors. Without a listener, the
    // "error" event would be thrown as an uncaught exception.
    socket.on('error', () => undefined);
  }

  /** Returns the identity of the peer; `undefined` until it is authenticated. */
  getPeer(): PeerIdentity | undefined {
    return this.peer;
  }

  /**
   * Performs the handshake, then handles frames until the connection closes.
   * @param onReady - Called once the peer is authenticated.
   * @returns Why the connection closed.
   */
  async run(onReady: (peer: PeerIdentity) => void): Promise<string> {
    let reason = 'closed by the peer';
    const frames = this.readFrames();
    try {
      this.peer = await this.performHandshake(frames);
      this.reader.setLimit(this.options.maxFrameBytes);
      onReady(this.peer);
      void this.closeWhenIdle();
      for await (const frame of frames) {
        this.handleEnvelope(envelopeSchema.parse(frame));
      }
    } catch (error) {
      reason = error instanceof Error ? error.message : String(error);
    }
    this.close(reason);
    return reason;
  }

  /**
   * Sends a request and waits for its reply.
   * @param body - The request.
   * @param timeoutMs - How long to wait for the reply, in milliseconds. While bytes of a
   *   long frame arrive, the time counts from the last ones, up to `MAX_EXTENSION_MS`.
   * @param onPart - Called for each part that arrives before the reply.
   * @param signal - Cancels the request, also at the peer.
   */
  async request(
    body: unknown,
    timeoutMs: number,
    onPart: (part: unknown) => void = () => undefined,
    signal?: AbortSignal,
  ): Promise<Result<unknown, PeerFailure>> {
    if (this.closed || this.peer === undefined) {
      return Result.err(
        new PeerFailure(
          PeerFailureKind.NOT_SENT,
          'connection is closed or not yet authenticated',
        ),
      );
    }
    const id = this.nextId++;
    const done = new AbortController();
    const reply = new Promise<Result<unknown, PeerFailure>>(settle => {
      this.pending.set(id, {onPart, settle});
      const abandon = (detail: string) => {
        this.send({kind: 'cancel', id});
        settle(Result.err(new PeerFailure(PeerFailureKind.SENT, detail)));
      };
      signal?.addEventListener('abort', () => abandon('cancelled'), {
        once: true,
        signal: done.signal,
      });
      void this.waitWithoutProgress(timeoutMs, done.signal).then(() => {
        if (!done.signal.aborted) {
          abandon(`no reply within ${timeoutMs} ms`);
        }
      });
    });
    this.send({kind: 'request', id, body});
    const result = await reply;
    done.abort();
    this.pending.delete(id);
    return result;
  }

  /** Waits until a time has passed in which no bytes of a long frame arrived. */
  private async waitWithoutProgress(
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.options;
    const endMs = clock.monotonicMs() + timeoutMs;
    await clock.sleep(timeoutMs, signal);
    await handleArrivedData(signal);
    while (!signal.aborted && this.reader.isReadingLongFrame()) {
      const silentMs = this.lastReceivedMs + timeoutMs;
      const leftMs =
        Math.min(silentMs, endMs + MAX_EXTENSION_MS) - clock.monotonicMs();
      if (leftMs <= 0) {
        return;
      }
      await clock.sleep(leftMs, signal);
      await handleArrivedData(signal);
    }
  }

  /**
   * Closes the connection. Requests without a reply fail with
   * `PeerFailureKind.SENT`; requests of the peer are aborted.
   */
  close(reason: string): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.closeController.abort();
    this.socket.destroy();
    for (const pending of this.pending.values()) {
      pending.settle(Result.err(new PeerFailure(PeerFailureKind.SENT, reason)));
    }
    for (const controller of this.inboundRequests.values()) {
      controller.abort();
    }
  }

  /** Closes the connection when nothing was received for longer than `idleTimeoutMs`. */
  private async closeWhenIdle(): Promise<void> {
    const {clock, idleTimeoutMs} = this.options;
    while (!this.closed) {
      const dueMs = clock.monotonicMs() + idleTimeoutMs / 2;
      await clock.sleep(idleTimeoutMs / 2, this.closeController.signal);
      if (clock.monotonicMs() - dueMs > idleTimeoutMs / 4) {
        // This process stood still, and what arrived meanwhile is not read yet.
        continue;
      }
      const idleMs = clock.monotonicMs() - this.lastReceivedMs;
      if (idleMs > idleTimeoutMs) {
        this.close(`no data received for ${Math.round(idleMs)} ms`);
      }
    }
  }

  private async performHandshake(
    frames: AsyncGenerator<unknown>,
  ): Promise<PeerIdentity> {
    const {clock, key, self} = this.options;
    const done = new AbortController();
    void clock.sleep(HANDSHAKE_TIMEOUT_MS, done.signal).then(() => {
      if (!done.signal.aborted) {
        this.close(`handshake not finished within ${HANDSHAKE_TIMEOUT_MS} ms`);
      }
    });
    try {
      const own = createGreeting(self);
      this.socket.write(encodeFrame(own));
      const other = greetingSchema.parse(await nextFrame(frames));
      if (!isCompatible(other)) {
        throw new Error(
          `no common protocol version: the peer supports ${other.oldestVersion} to ${other.version}`,
        );
      }
      if (other.incarnation === own.incarnation) {
        throw new Error('the host connected to itself');
      }
      const mac = computeProof(key, own, other);
      this.socket.write(encodeFrame({kind: 'proof', mac}));
      const proof = proofSchema.parse(await nextFrame(frames));
      this.verifyProof(proof.mac, own, other);
      return {
        host: other.host,
        dataCentre: other.dataCentre,
        incarnation: other.incarnation,
      };
    } finally {
      done.abort();
    }
  }

  private verifyProof(mac: Uint8Array, own: Greeting, other: Greeting): void {
    if (!isSameProof(mac, computeProof(this.options.key, other, own))) {
      throw new Error(
        `${other.host} sent an invalid proof of the shared key; check peers.key on both hosts`,
      );
    }
  }

  private async *readFrames(): AsyncGenerator<unknown> {
    for await (const chunk of this.socket) {
      this.lastReceivedMs = this.options.clock.monotonicMs();
      this.reader.add(chunk as Buffer);
      for (;;) {
        const frame = this.reader.read();
        if (frame.isErr) {
          throw new Error(frame.error);
        }
        if (frame.value === undefined) {
          break;
        }
        yield frame.value.value;
      }
    }
  }

  private handleEnvelope(envelope: Envelope): void {
    switch (envelope.kind) {
      case 'request':
        void this.handleRequest(envelope.id, envelope.body);
        return;
      case 'part':
        this.pending.get(envelope.id)?.onPart(envelope.body);
        return;
      case 'reply':
        this.pending.get(envelope.id)?.settle(Result.ok(envelope.body));
        return;
      case 'failure':
        this.pending
          .get(envelope.id)
          ?.settle(
            Result.err(
              new PeerFailure(PeerFailureKind.REFUSED, envelope.detail),
            ),
          );
        return;
      case 'cancel':
        this.inboundRequests.get(envelope.id)?.abort();
        return;
    }
  }

  private async handleRequest(id: number, body: unknown): Promise<void> {
    const peer = this.peer;
    if (peer === undefined) {
      return;
    }
    const controller = new AbortController();
    this.inboundRequests.set(id, controller);
    try {
      const sendPart = (part: unknown) =>
        this.send({kind: 'part', id, body: part});
      const reply = await this.options.handle(
        body,
        peer,
        sendPart,
        controller.signal,
      );
      this.send({kind: 'reply', id, body: reply});
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.options.log.warn('peer_request_failed', {peer: peer.host, detail});
      this.send({kind: 'failure', id, detail});
    } finally {
      this.inboundRequests.delete(id);
    }
  }

  private send(envelope: Envelope): void {
    if (!this.closed) {
      this.socket.write(encodeFrame(envelope));
    }
  }
}

/**
 * Waits until the data that have arrived are handled: after a pause of this process, timers
 * fire before sockets are read.
 * @param signal - Ends the wait.
 */
async function handleArrivedData(signal: AbortSignal): Promise<void> {
  if (!signal.aborted) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

async function nextFrame(frames: AsyncGenerator<unknown>): Promise<unknown> {
  const next = await frames.next();
  if (next.done === true) {
    throw new Error('connection closed during the handshake');
  }
  return next.value;
}
