import {connect, Socket} from 'node:net';
import {Random} from '../random/index.js';
import {PeerIdentity} from './handshake.js';
import {PeerConnection, PeerConnectionOptions} from './peer_connection.js';

/** Options of a link. */
export interface PeerLinkOptions {
  /** IP address and port of the peer. */
  readonly address: string;
  readonly connection: PeerConnectionOptions;
  readonly random: Random;
  /** Interval between a heartbeat reply and the next heartbeat, in milliseconds. */
  readonly heartbeatMs: number;
  /** Returns the interval for one peer; by default, it is `heartbeatMs` for all. */
  readonly getHeartbeatMs?: (peer: PeerIdentity) => number;
  /** Time limit for the reply to a heartbeat, in milliseconds; then the connection is replaced. */
  readonly heartbeatTimeoutMs: number;
  /**
   * Creates the body of the next heartbeat.
   * @param peer - The peer that it is sent to.
   * @param acknowledged - The last heartbeat reply on this connection;
   *   `undefined` for the first heartbeat.
   */
  readonly createHeartbeat: (
    peer: PeerIdentity,
    acknowledged: unknown,
  ) => unknown;
  /**
   * Called with the reply to each heartbeat.
   * @param peer - The peer that replied.
   * @param reply - The reply, not validated.
   * @param sentMs - Time at which the heartbeat was sent, in milliseconds of
   *   the monotonic clock.
   */
  readonly receiveReply?: (
    peer: PeerIdentity,
    reply: unknown,
    sentMs: number,
  ) => void;
  /**
   * Called each time a connection attempt fails or a connection closes, before
   * the next attempt. Not called once the link is stopped.
   */
  readonly onUnreachable?: (address: string) => void;
  readonly onConnected: (connection: PeerConnection) => void;
  readonly onClosed: (connection: PeerConnection) => void;
}

const CONNECT_TIMEOUT_MS = 1000;
const MAX_PORT = 65_535;
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1000;

/**
 * Maintains a connection to one peer: connects, sends heartbeats, closes the
 * connection when a heartbeat fails, and reconnects. `run` drives all of this.
 */
export class PeerLink {
  private readonly stopped = new AbortController();
  private heartbeatTrigger = new AbortController();
  private backoffMs = INITIAL_BACKOFF_MS;

  constructor(private readonly options: PeerLinkOptions) {}

  /** Connects, and reconnects with exponential backoff, until stopped. */
  async run(): Promise<void> {
    const {clock} = this.options.connection;
    while (!this.stopped.signal.aborted) {
      const socket = await this.connect();
      if (socket !== undefined) {
        await this.serve(socket);
      }
      if (!this.stopped.signal.aborted) {
        this.options.onUnreachable?.(this.options.address);
      }
      const jitter = 0.5 + this.options.random.next();
      await clock.sleep(this.backoffMs * jitter, this.stopped.signal);
      this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
    }
  }

  /** Sends the next heartbeat without waiting for the interval, to deliver updates early. */
  sendHeartbeatNow(): void {
    this.heartbeatTrigger.abort();
  }

  /** Closes the connection and makes `run` return. */
  stop(): void {
    this.stopped.abort();
  }

  private async connect(): Promise<Socket | undefined> {
    const separator = this.options.address.lastIndexOf(':');
    const host = this.options.address.slice(0, separator);
    const port = Number(this.options.address.slice(separator + 1));
    if (!(port > 0 && port <= MAX_PORT)) {
      // `connect` would throw. The address comes from another host or from the store.
      return undefined;
    }
    return new Promise(resolve => {
      const socket = connect({host, port});
      const fail = () => {
        socket.destroy();
        resolve(undefined);
      };
      socket.setTimeout(CONNECT_TIMEOUT_MS, fail);
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
      this.backoffMs = INITIAL_BACKOFF_MS;
      log.info('peer_connected', {peer: peer.host});
      this.options.onConnected(connection);
      void this.sendHeartbeats(connection, peer);
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

  /** Sends heartbeats until one fails, then closes the connection. */
  private async sendHeartbeats(
    connection: PeerConnection,
    peer: PeerIdentity,
  ): Promise<void> {
    const {clock} = this.options.connection;
    const {heartbeatMs, getHeartbeatMs, heartbeatTimeoutMs} = this.options;
    let acknowledged: unknown;
    while (!this.stopped.signal.aborted) {
      const sentMs = clock.monotonicMs();
      const reply = await connection.request(
        this.options.createHeartbeat(peer, acknowledged),
        heartbeatTimeoutMs,
      );
      if (reply.isErr) {
        connection.close(`heartbeat failed: ${reply.error.message}`);
        return;
      }
      acknowledged = reply.value;
      this.options.receiveReply?.(peer, reply.value, sentMs);
      await clock.sleep(
        getHeartbeatMs?.(peer) ?? heartbeatMs,
        this.heartbeatTrigger.signal,
      );
      this.heartbeatTrigger = new AbortController();
    }
  }
}
