import {createServer, Server} from 'node:net';
import {AddressInfo} from 'node:net';
import {PeerConnection, PeerConnectionOptions} from './peer_connection.js';

/** Connections that may wait for their handshake at once. */
const MAX_STRANGERS = 64;

/** Accepts connections of peers; one task for each. */
export class PeerListener {
  private readonly server: Server;
  private readonly connections = new Set<PeerConnection>();
  private strangers = 0;

  /**
   * @param options - Options of each connection.
   * @param onConnected - Called once a peer has proved itself.
   * @param onClosed - Called when such a connection has ended.
   */
  constructor(
    private readonly options: PeerConnectionOptions,
    private readonly onConnected: (connection: PeerConnection) => void,
    private readonly onClosed: (connection: PeerConnection) => void,
  ) {
    this.server = createServer(socket => {
      if (this.strangers >= MAX_STRANGERS) {
        socket.destroy();
        return;
      }
      void this.serve(new PeerConnection(socket, this.options));
    });
  }

  /**
   * Starts to listen.
   * @returns The port.
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
    this.strangers++;
    let known = false;
    const reason = await connection.run(() => {
      known = true;
      this.strangers--;
      this.onConnected(connection);
    });
    this.connections.delete(connection);
    if (known) {
      this.onClosed(connection);
      return;
    }
    this.strangers--;
    this.options.log.warn('stranger_dropped', {reason});
  }
}
