import {createServer, connect, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';

/** Faults of a link; each may be switched while the link is in use. */
export interface LinkFaults {
  /** Delay of every chunk, in milliseconds. */
  delayMs: number;
  /** Accepts connections and bytes, and forwards nothing in either direction. */
  silent: boolean;
  /** Forwards outgoing bytes, and nothing of what comes back. */
  oneWay: boolean;
}

/** A loopback proxy with faults, through which one side reaches the other. */
export class Link {
  readonly faults: LinkFaults = {delayMs: 0, silent: false, oneWay: false};
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  /**
   * @param getTargetPort - Returns the port to forward to; undefined if there is none.
   * @param isCutOff - Returns whether connections from an address are reset.
   */
  constructor(
    private readonly getTargetPort: () => number | undefined,
    private readonly isCutOff: (sourceAddress: string) => boolean = () => false,
  ) {
    this.server = createServer(socket => this.forward(socket));
  }

  /** Starts listening; returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Resets every connection. */
  reset(): void {
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
  }

  /** Resets the connections from addresses that are cut off. */
  resetCutOff(): void {
    for (const socket of this.sockets) {
      if (this.isCutOff(socket.remoteAddress ?? '')) {
        socket.resetAndDestroy();
      }
    }
  }

  /** Resets every connection and refuses new ones. */
  stop(): void {
    this.server.close();
    this.reset();
  }

  private forward(clientSocket: Socket): void {
    const port = this.getTargetPort();
    if (port === undefined || this.isCutOff(clientSocket.remoteAddress ?? '')) {
      clientSocket.resetAndDestroy();
      return;
    }
    const targetSocket = connect({host: '127.0.0.1', port});
    for (const socket of [clientSocket, targetSocket]) {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.once('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    }
    this.pipe(clientSocket, targetSocket, () => this.faults.silent);
    this.pipe(
      targetSocket,
      clientSocket,
      () => this.faults.silent || this.faults.oneWay,
    );
  }

  /** Forwards bytes and the end of a connection, in order. */
  private pipe(from: Socket, to: Socket, isBlocked: () => boolean): void {
    let queue = Promise.resolve();
    let hasLostBytes = false;
    const enqueue = (action: () => void) => {
      const {delayMs} = this.faults;
      queue = queue.then(async () => {
        if (delayMs > 0) {
          await new Promise(resolve => setTimeout(resolve, delayMs));
        }
        hasLostBytes ||= isBlocked();
        if (!isBlocked() && hasLostBytes) {
          // No connection of a network goes on with a gap in its bytes.
          from.resetAndDestroy();
          to.resetAndDestroy();
        } else if (!isBlocked()) {
          action();
        }
      });
    };
    from.on('data', bytes => enqueue(() => void to.write(bytes)));
    from.on('end', () => {
      // Node reports a reset that it reads together with the last bytes as an ordinary end.
      // Only the system no longer knows the peer of such a connection.
      const wasReset = from.remoteAddress === undefined;
      enqueue(() => void (wasReset ? to.resetAndDestroy() : to.end()));
    });
    from.on('close', hadError => {
      if (hadError) {
        enqueue(() => void to.resetAndDestroy());
      } else {
        enqueue(() => void to.destroy());
      }
    });
  }
}
