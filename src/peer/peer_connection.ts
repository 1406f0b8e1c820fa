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

/** Largest frame before a peer has proved itself. */
const STRANGER_FRAME_BYTES = 1024;
const HANDSHAKE_MS = 2000;

/** Answers one request of a peer; may send parts before the reply. */
export type PeerHandler = (
  request: unknown,
  from: PeerIdentity,
  sendPart: (part: unknown) => void,
  signal: AbortSignal,
) => Promise<unknown>;

/** Settings that both sides of a connection need. */
export interface PeerConnectionOptions {
  readonly self: PeerIdentity;
  /** Shared key of all peers. */
  readonly key: string;
  /** Largest frame accepted from a peer, in bytes. */
  readonly maxFrameBytes: number;
  /** Silence after which a connection is closed, in milliseconds. */
  readonly idleLimitMs: number;
  readonly handle: PeerHandler;
  readonly clock: Clock;
  readonly log: Log;
}

/** A request that waits for its reply. */
interface Pending {
  readonly onPart: (part: unknown) => void;
  readonly settle: (result: Result<unknown, PeerFailure>) => void;
}

/**
 * One TCP connection to a peer, of either side.
 *
 * `run` is the one task that reads it, from the greeting to the end.
 */
export class PeerConnection {
  private readonly reader = new FrameReader(STRANGER_FRAME_BYTES);
  private readonly pending = new Map<number, Pending>();
  private readonly serving = new Map<number, AbortController>();
  private nextId = 0;
  private peer: PeerIdentity | undefined;
  private closed = false;
  private receivedMs = 0;
  private readonly ended = new AbortController();

  constructor(
    private readonly socket: Socket,
    private readonly options: PeerConnectionOptions,
  ) {
    socket.setNoDelay(true);
    // The read loop learns of errors; without a listener they would throw.
    socket.on('error', () => undefined);
  }

  /** Returns who the peer is, once it has proved itself. */
  getPeer(): PeerIdentity | undefined {
    return this.peer;
  }

  /**
   * Greets the peer, then reads frames until the connection ends.
   * @param onReady - Called once the peer has proved itself.
   * @returns Why the connection ended.
   */
  async run(onReady: (peer: PeerIdentity) => void): Promise<string> {
    let reason = 'closed by the peer';
    const frames = this.readFrames();
    try {
      this.peer = await this.shakeHands(frames);
      this.reader.setLimit(this.options.maxFrameBytes);
      onReady(this.peer);
      void this.watchSilence();
      for await (const frame of frames) {
        this.receive(envelopeSchema.parse(frame));
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
   * @param timeoutMs - How long to wait for the reply, in milliseconds.
   * @param onPart - Called for each part that comes before the reply.
   * @param signal - Cancels the request, on the other side as well.
   */
  async request(
    body: unknown,
    timeoutMs: number,
    onPart: (part: unknown) => void = () => undefined,
    signal?: AbortSignal,
  ): Promise<Result<unknown, PeerFailure>> {
    if (this.closed || this.peer === undefined) {
      return Result.err(
        new PeerFailure(PeerFailureKind.NOT_SENT, 'not connected'),
      );
    }
    const id = this.nextId++;
    const over = new AbortController();
    const reply = new Promise<Result<unknown, PeerFailure>>(settle => {
      this.pending.set(id, {onPart, settle});
      const abandon = (detail: string) => {
        this.send({kind: 'cancel', id});
        settle(Result.err(new PeerFailure(PeerFailureKind.SENT, detail)));
      };
      signal?.addEventListener('abort', () => abandon('cancelled'), {
        once: true,
        signal: over.signal,
      });
      void this.options.clock.sleep(timeoutMs, over.signal).then(() => {
        if (!over.signal.aborted) {
          abandon(`no reply within ${timeoutMs} ms`);
        }
      });
    });
    this.send({kind: 'request', id, body});
    const result = await reply;
    over.abort();
    this.pending.delete(id);
    return result;
  }

  /** Closes the connection; requests that wait fail as sent. */
  close(reason: string): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.ended.abort();
    this.socket.destroy();
    for (const pending of this.pending.values()) {
      pending.settle(Result.err(new PeerFailure(PeerFailureKind.SENT, reason)));
    }
    for (const controller of this.serving.values()) {
      controller.abort();
    }
  }

  /** Closes the connection once the peer has sent nothing for too long. */
  private async watchSilence(): Promise<void> {
    const {clock, idleLimitMs} = this.options;
    while (!this.closed) {
      await clock.sleep(idleLimitMs / 2, this.ended.signal);
      const silentMs = clock.monotonicMs() - this.receivedMs;
      if (silentMs > idleLimitMs) {
        this.close(`silent for ${Math.round(silentMs)} ms`);
      }
    }
  }

  private async shakeHands(
    frames: AsyncGenerator<unknown>,
  ): Promise<PeerIdentity> {
    const {clock, key, self} = this.options;
    const over = new AbortController();
    void clock.sleep(HANDSHAKE_MS, over.signal).then(() => {
      if (!over.signal.aborted) {
        this.close(`no handshake within ${HANDSHAKE_MS} ms`);
      }
    });
    try {
      const own = createGreeting(self);
      this.socket.write(encodeFrame(own));
      const other = greetingSchema.parse(await nextFrame(frames));
      if (!isCompatible(other)) {
        throw new Error(
          `the peer speaks versions ${other.oldestVersion} to ${other.version} only`,
        );
      }
      if (other.incarnation === own.incarnation) {
        throw new Error('this is a connection of the host to itself');
      }
      const mac = computeProof(key, own, other);
      this.socket.write(encodeFrame({kind: 'proof', mac}));
      const proof = proofSchema.parse(await nextFrame(frames));
      this.checkProof(proof.mac, own, other);
      return {
        host: other.host,
        dataCentre: other.dataCentre,
        incarnation: other.incarnation,
      };
    } finally {
      over.abort();
    }
  }

  private checkProof(mac: Uint8Array, own: Greeting, other: Greeting): void {
    if (!isSameProof(mac, computeProof(this.options.key, other, own))) {
      throw new Error(
        `${other.host} does not know the shared key; check peers.key on both hosts`,
      );
    }
  }

  private async *readFrames(): AsyncGenerator<unknown> {
    for await (const chunk of this.socket) {
      this.receivedMs = this.options.clock.monotonicMs();
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

  private receive(envelope: Envelope): void {
    switch (envelope.kind) {
      case 'request':
        void this.serve(envelope.id, envelope.body);
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
        this.serving.get(envelope.id)?.abort();
        return;
    }
  }

  private async serve(id: number, body: unknown): Promise<void> {
    const peer = this.peer;
    if (peer === undefined) {
      return;
    }
    const controller = new AbortController();
    this.serving.set(id, controller);
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
      this.serving.delete(id);
    }
  }

  private send(envelope: Envelope): void {
    if (!this.closed) {
      this.socket.write(encodeFrame(envelope));
    }
  }
}

async function nextFrame(frames: AsyncGenerator<unknown>): Promise<unknown> {
  const next = await frames.next();
  if (next.done === true) {
    throw new Error('the connection ended during the handshake');
  }
  return next.value;
}
