import {Agent, ClientRequest, ClientRequestArgs} from 'node:http';
import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {OpenConnection} from './open_connection.js';

/** Fraction of the idle timeout announced by the server that is used. */
const IDLE_SHARE = 0.6;
const MS_PER_SECOND = 1000;
const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/i;

/** Socket with the request that node:http attaches to it. */
interface AgentSocket extends Socket {
  readonly _httpMessage?: {
    readonly res?: {readonly headers: Readonly<Record<string, unknown>>};
  };
}

/**
 * Pool of keep-alive connections to one server.
 *
 * A connection is kept idle for less time than the server announces in its
 * `Keep-Alive` header, and for no longer than a maximum, so that no request is sent while the server closes the
 * connection. If the server announces no timeout, the connection is not reused. One that
 * receives data while idle is closed, because the data belongs to no request.
 */
export class ConnectionPool extends Agent {
  private isClosing = false;

  /**
   * @param getMaxIdleMs - Returns the longest time a connection is kept idle, in ms.
   * @param openConnection - Opens the connections; by default, the agent does.
   */
  constructor(
    private readonly getMaxIdleMs: () => number,
    private readonly openConnection?: OpenConnection,
  ) {
    super({keepAlive: true, scheduling: 'lifo'});
  }

  /** Called by the agent when a request needs another connection. */
  override createConnection(
    options: ClientRequestArgs,
    callback?: (error: Error | null, stream: Duplex) => void,
  ): Duplex | null | undefined {
    return this.openConnection === undefined
      ? super.createConnection(options, callback)
      : this.openConnection({
          host: String(options.host),
          port: Number(options.port),
        });
  }

  /** Returns whether a connection is open and idle. */
  hasIdle(): boolean {
    return Object.values(this.freeSockets).some(
      sockets => (sockets?.length ?? 0) > 0,
    );
  }

  /** Closes the idle connections; the others are closed after their request. */
  closeIdle(): void {
    this.isClosing = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        socket.destroy();
      }
    }
  }

  /** Called by the agent when a connection becomes idle. */
  override keepSocketAlive(socket: AgentSocket): boolean {
    const hint = socket._httpMessage?.res?.headers['keep-alive'];
    const seconds = KEEP_ALIVE_TIMEOUT.exec(String(hint ?? ''))?.[1];
    if (seconds === undefined || this.isClosing) {
      return false;
    }
    const idleMs = Number(seconds) * MS_PER_SECOND * IDLE_SHARE;
    socket.setTimeout(Math.min(this.getMaxIdleMs(), idleMs));
    socket.on('data', destroySocket);
    socket.unref();
    return true;
  }

  /** Called by the agent when an idle connection is reused for a request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off('data', destroySocket);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
