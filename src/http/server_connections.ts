import {Socket} from 'node:net';
import {
  ListenerPhase,
  ServerConnection,
  ServerConnectionOptions,
} from './server_connection.js';

/** The open connections of an HTTP server. */
export class ServerConnections {
  private readonly connections = new Map<Socket, ServerConnection>();
  private phase: ListenerPhase = ListenerPhase.OPEN;

  /** @param onIgnored - See `ServerConnectionOptions`. */
  constructor(
    private readonly onIgnored: ServerConnectionOptions['onIgnored'],
  ) {}

  /** Adds a connection that was accepted. */
  add(socket: Socket): void {
    const connection = new ServerConnection(socket, {
      getPhase: () => this.phase,
      onIgnored: this.onIgnored,
    });
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
  }

  /** Returns a connection; `undefined` if it was not added, or is closed. */
  get(socket: Socket): ServerConnection | undefined {
    return this.connections.get(socket);
  }

  /** Returns the number of open connections. */
  count(): number {
    return this.connections.size;
  }

  /** Returns the number of connections on which a request is being read or answered. */
  countBusy(): number {
    let count = 0;
    for (const connection of this.connections.values()) {
      count += connection.isBusy() ? 1 : 0;
    }
    return count;
  }

  /**
   * From now on, each connection ends after its next answer. Connections without a request stay
   * open.
   */
  startDraining(): void {
    if (this.phase === ListenerPhase.OPEN) {
      this.phase = ListenerPhase.DRAINING;
    }
  }

  /**
   * Ends the connections without a request. Requests whose turn comes from now on are not
   * handled.
   */
  stop(): void {
    this.phase = ListenerPhase.STOPPED;
    for (const connection of this.connections.values()) {
      connection.closeIfIdle();
    }
  }
}
