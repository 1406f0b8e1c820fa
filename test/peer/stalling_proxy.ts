import {connect, createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';

/**
 * A TCP proxy that can lose the state of its open connections: they stay open
 * but carry no more data, while new connections work.
 */
export class StallingProxy {
  private readonly server: Server;
  private readonly sockets: Socket[] = [];

  /** @param target - Loopback port that connections are forwarded to. */
  constructor(target: number) {
    this.server = createServer(clientSocket => {
      const targetSocket = connect(target, '127.0.0.1');
      this.sockets.push(clientSocket, targetSocket);
      clientSocket.on('error', () => targetSocket.destroy());
      targetSocket.on('error', () => clientSocket.destroy());
      clientSocket.pipe(targetSocket);
      targetSocket.pipe(clientSocket);
    });
  }

  /** Starts listening; returns the port. */
  async listen(): Promise<number> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops all data on every open connection, without closing it. */
  stallConnections(): void {
    for (const socket of this.sockets) {
      socket.unpipe();
      socket.pause();
    }
  }

  /** Closes all connections and stops listening. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }
}
