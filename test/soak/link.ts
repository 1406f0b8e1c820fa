import {createServer, connect, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';

/** What is wrong with a link; each may be switched while it is used. */
export interface LinkFaults {
  /** Delay of every piece, in milliseconds. */
  delayMs: number;
  /** Takes channels and bytes, and passes nothing on in either direction. */
  silent: boolean;
  /** Passes on what goes out, and nothing of what comes back. */
  oneWay: boolean;
}

/** A loopback proxy through which one side reaches the other. */
export class Link {
  readonly faults: LinkFaults = {delayMs: 0, silent: false, oneWay: false};
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  /** @param getTarget - Returns the port that is reached; absent for none. */
  constructor(private readonly getTarget: () => number | undefined) {
    this.server = createServer(socket => this.join(socket));
  }

  /** Starts to listen; returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Resets every channel. */
  reset(): void {
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
  }

  /** Resets every channel and refuses new ones. */
  stop(): void {
    this.server.close();
    this.reset();
  }

  private join(near: Socket): void {
    const port = this.getTarget();
    if (port === undefined) {
      near.resetAndDestroy();
      return;
    }
    const far = connect({host: '127.0.0.1', port});
    for (const socket of [near, far]) {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.once('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    }
    this.pipe(near, far, () => this.faults.silent);
    this.pipe(far, near, () => this.faults.silent || this.faults.oneWay);
  }

  /** Passes bytes and the end of a channel on, in order. */
  private pipe(from: Socket, to: Socket, isHeld: () => boolean): void {
    let queue = Promise.resolve();
    const later = (step: () => void) => {
      const {delayMs} = this.faults;
      queue = queue.then(async () => {
        if (delayMs > 0) {
          await new Promise(resolve => setTimeout(resolve, delayMs));
        }
        if (!isHeld()) {
          step();
        }
      });
    };
    from.on('data', bytes => later(() => void to.write(bytes)));
    from.on('end', () => later(() => void to.end()));
    from.on('close', broke => {
      if (broke) {
        later(() => void to.resetAndDestroy());
      } else {
        later(() => void to.destroy());
      }
    });
  }
}
