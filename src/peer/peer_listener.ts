import {createServer, Server} from 'node:net';
import {AddressInfo} from 'node:net';
import {PeerConnection, PeerConnectionOptions} from './peer_connection.js';

/** Connections that may be in their handshake at the same time; further ones are closed. */
const MAX_UNAUTHENTICATED_CONNECTIONS = 64;

/** Accepts connections from peers and runs each of them. */
export class PeerListener {
  private readonly server: Server;
  private readonly connections = new Set<PeerConnection>();
  private unauthenticatedCount = 0;

  /**
   * @param options - Options of each connection.
   * @param onConnected - Called once the peer of a connection is authenticated.
   * @param onClosed - Called when an authenticated connection has closed.
   */
  constructor(
    private readonly options: PeerConnectionOptions,
    private readonly onConnected: (connection: PeerConnection) => void,
    private readonly onClosed: (connection: PeerConnection) => void,
  ) {
    this.server = createServer(socket => {
      if (this.unauthenticatedCount >= MAX_UNAUTHENTICATED_CONNECTIONS) {
        socket.destroy();
        return;
      }
      void this.serve(new PeerConnection(socket, this.options));
    });
  }

  /**
   * Starts listening.
   * @returns The port that is listened on.
   */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    this.server.close();
    for (const connection of this.connections) {
      connection.close('stopped');
    }
  }

  private async serve(connection: PeerConnection): Promise<void> {
    this.connections.add(connection);
    this.unauthenticatedCount++;
    let authenticated = false;
    const reason = await connection.run(() => {
      authenticated = true;
      this.unauthenticatedCount--;
      this.onConnected(connection);
    });
    this.connections.delete(connection);
    if (authenticated) {
      this.onClosed(connection);
      return;
    }
    this.unauthenticatedCount--;
    this.options.log.warn('stranger_dropped', {reason});
  }
}
