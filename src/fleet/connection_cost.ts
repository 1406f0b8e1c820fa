/**
 * Processor time that opening a connection takes, in milliseconds: the sockets of both
 * sides, a pool entry, and the handlers of another connection.
 */
const CONNECT_PROCESSOR_MS = 3;
/** Round trip of the handshake within a data centre, in milliseconds. */
const HANDSHAKE_MS = 1;

/**
 * Number of connected servers of a service below which new connections are not avoided. With
 * fewer servers, a host would send a large part of its requests to one that may fail.
 */
const MIN_CONNECTED_SERVERS = 8;

/** Dependencies of a `ConnectionCost`. */
export interface ConnectionCostOptions {
  /** Returns whether connections are to be reused where that is about as early. */
  readonly isEnabled: () => boolean;
  /** Returns whether this host has an idle connection to a server. */
  readonly hasIdleConnection: (server: string) => boolean;
  /** Share of the processor that this host may use, in cores. */
  readonly capacity: number;
}

/**
 * Estimates the time that opening a connection to a server adds to a request.
 *
 * A host of a large fleet sends few requests to each of many servers. Without this cost it
 * spreads them over all servers, and nearly every request opens a connection, which takes
 * a small host as long as the request itself. With it, the host keeps to the servers that
 * it is connected to as long as the others would answer about as early.
 */
export class ConnectionCost {
  private readonly connectMs: number;

  constructor(private readonly options: ConnectionCostOptions) {
    const cores = Math.min(1, options.capacity);
    this.connectMs = HANDSHAKE_MS + CONNECT_PROCESSOR_MS / cores;
  }

  /**
   * Returns the servers to which requests need no new connection; `undefined` if new
   * connections are not to be avoided.
   * @param servers - The servers of a service.
   */
  listConnected(servers: readonly string[]): ReadonlySet<string> | undefined {
    const {isEnabled, hasIdleConnection} = this.options;
    if (!isEnabled()) {
      return undefined;
    }
    const connected = servers.filter(hasIdleConnection);
    return connected.length < MIN_CONNECTED_SERVERS
      ? undefined
      : new Set(connected);
  }

  /** Returns the time that opening a connection adds to a request, in milliseconds. */
  getConnectMs(): number {
    return this.connectMs;
  }
}
