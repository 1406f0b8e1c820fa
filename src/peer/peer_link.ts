import {connect, Socket} from 'node:net';
import {Random} from '../random/index.js';
import {PeerIdentity} from './handshake.js';
import {PeerConnection, PeerConnectionOptions} from './peer_connection.js';

/** What a link works with. */
export interface PeerLinkOptions {
  /** IP number and port of the peer. */
  readonly address: string;
  readonly connection: PeerConnectionOptions;
  readonly random: Random;
  /** Pause between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Wait for a heartbeat's reply before the connection counts as silent. */
  readonly silenceMs: number;
  /**
   * Makes the heartbeat to send.
   * @param peer - Whom it is for.
   * @param acknowledged - What the peer has acknowledged last on this
   *   connection; `undefined` at first.
   */
  readonly createHeartbeat: (
    peer: PeerIdentity,
    acknowledged: unknown,
  ) => unknown;
  /**
   * Told of the reply to each heartbeat.
   * @param peer - Who replied.
   * @param reply - The reply; not yet checked.
   * @param sentMs - When the heartbeat was sent, monotonic milliseconds.
   */
  readonly receiveReply?: (
    peer: PeerIdentity,
    reply: unknown,
    sentMs: number,
  ) => void;
  /** Told that the peer cannot be connected to, or has fallen silent. */
  readonly onUnreachable?: (address: string) => void;
  readonly onConnected: (connection: PeerConnection) => void;
  readonly onClosed: (connection: PeerConnection) => void;
}

const CONNECT_MS = 1000;
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1000;

/**
 * Keeps a connection to one peer: connects, sends heartbeats, and replaces a
 * connection that has gone silent by a fresh one. One task, `run`.
 */
export class PeerLink {
  private readonly stopped = new AbortController();
  private beatNow = new AbortController();
  private pauseMs = FIRST_PAUSE_MS;

  constructor(private readonly options: PeerLinkOptions) {}

  /** Connects and reconnects until stopped. */
  async run(): Promise<void> {
    const {clock} = this.options.connection;
    while (!this.stopped.signal.aborted) {
      const socket = await this.dial();
      if (socket !== undefined) {
        await this.serve(socket);
      }
      if (!this.stopped.signal.aborted) {
        this.options.onUnreachable?.(this.options.address);
      }
      const jitter = 0.5 + this.options.random.next();
      await clock.sleep(this.pauseMs * jitter, this.stopped.signal);
      this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
    }
  }

  /** Sends the next heartbeat at once, since there is news. */
  hurry(): void {
    this.beatNow.abort();
  }

  /** Closes the connection and ends the task. */
  stop(): void {
    this.stopped.abort();
  }

  private async dial(): Promise<Socket | undefined> {
    const colon = this.options.address.lastIndexOf(':');
    const host = this.options.address.slice(0, colon);
    const port = Number(this.options.address.slice(colon + 1));
    return new Promise(resolve => {
      const socket = connect({host, port});
      const fail = () => {
        socket.destroy();
        resolve(undefined);
      };
      socket.setTimeout(CONNECT_MS, fail);
      socket.once('error', fail);
      socket.once('connect', () => {
        socket.setTimeout(0);
        socket.off('error', fail);
        resolve(socket);
      });
    });
  }

  private async serve(socket: Socket): Promise<void> {
    const {log} = this.options.connection;
    const connection = new PeerConnection(socket, this.options.connection);
    const stop = () => connection.close('stopped');
    this.stopped.signal.addEventListener('abort', stop, {once: true});
    const reason = await connection.run(peer => {
      this.pauseMs = FIRST_PAUSE_MS;
      log.info('peer_connected', {peer: peer.host});
      this.options.onConnected(connection);
      void this.beat(connection, peer);
    });
    this.stopped.signal.removeEventListener('abort', stop);
    const peer = connection.getPeer();
    if (peer === undefined) {
      log.warn('peer_refused', {address: this.options.address, reason});
      return;
    }
    log.warn('peer_disconnected', {peer: peer.host, reason});
    this.options.onClosed(connection);
  }

  /** Sends heartbeats until one goes unanswered. */
  private async beat(
    connection: PeerConnection,
    peer: PeerIdentity,
  ): Promise<void> {
    const {clock} = this.options.connection;
    const {heartbeatMs, silenceMs} = this.options;
    let acknowledged: unknown;
    while (!this.stopped.signal.aborted) {
      const sentMs = clock.monotonicMs();
      const reply = await connection.request(
        this.options.createHeartbeat(peer, acknowledged),
        silenceMs,
      );
      if (reply.isErr) {
        connection.close(`silent: ${reply.error.message}`);
        return;
      }
      acknowledged = reply.value;
      this.options.receiveReply?.(peer, reply.value, sentMs);
      await clock.sleep(heartbeatMs, this.beatNow.signal);
      this.beatNow = new AbortController();
    }
  }
}
