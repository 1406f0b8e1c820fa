import {connect, createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';
import {OpenConnection} from '../../../src/http/index.js';

/** What a partition does to the connections of a host to servers. */
export const PartitionMode = {
  /** Nothing: the host reaches all servers. */
  NONE: 'none',
  /** Open connections deliver nothing, and new ones are not established. */
  HANGING: 'hanging',
  /** Open connections are reset, and new ones are refused. */
  RESET: 'reset',
  /** Open connections are reset, and new ones are as soon as they are open. */
  NEW_RESET: 'new-reset',
  /** Open connections go on, and new ones are refused. */
  NEW_REFUSED: 'new-refused',
} as const;
export type PartitionMode = (typeof PartitionMode)[keyof typeof PartitionMode];

/** A port at which nothing listens. */
const CLOSED_PORT = 1;

/** The network between one host and the servers, which may be partitioned. */
export class Partition {
  private mode: PartitionMode = PartitionMode.NONE;
  private readonly sockets = new Set<Socket>();
  private readonly proxies = new Map<number, Promise<Server>>();

  /** @param isAffected - Whether connections to a server's port are affected. */
  constructor(private readonly isAffected: (port: number) => boolean) {}

  /** Opens a connection as the host does. */
  readonly open: OpenConnection = ({port}) => {
    if (this.mode === PartitionMode.NONE || !this.isAffected(port)) {
      return this.openProxied(port);
    }
    if (this.mode === PartitionMode.HANGING) {
      const socket = new Socket();
      Object.assign(socket, {connecting: true});
      return socket;
    }
    return this.mode === PartitionMode.NEW_RESET
      ? this.openProxied(port)
      : connect({host: '127.0.0.1', port: CLOSED_PORT});
  };

  /** Starts a partition, or ends it with `PartitionMode.NONE`. */
  set(mode: PartitionMode): void {
    this.mode = mode;
    for (const socket of this.sockets) {
      if (mode === PartitionMode.RESET || mode === PartitionMode.NEW_RESET) {
        socket.resetAndDestroy();
      } else if (mode === PartitionMode.HANGING) {
        socket.pause();
      } else {
        socket.resume();
      }
    }
  }

  stop(): void {
    for (const proxy of this.proxies.values()) {
      void proxy.then(server => server.close());
    }
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  /** Listens at a proxy for a server's port before connections to it are opened. */
  async addServer(port: number): Promise<void> {
    const proxy = createServer(near => {
      if (this.mode === PartitionMode.NEW_RESET && this.isAffected(port)) {
        near.resetAndDestroy();
        return;
      }
      const far = connect({host: '127.0.0.1', port});
      this.forward(near, far, port);
      this.forward(far, near, port);
    });
    const listening = new Promise<Server>(resolve => {
      proxy.listen(0, '127.0.0.1', () => resolve(proxy));
    });
    this.proxies.set(port, listening);
    this.ports.set(port, ((await listening).address() as AddressInfo).port);
  }

  private readonly ports = new Map<number, number>();

  private openProxied(port: number): Socket {
    return connect({host: '127.0.0.1', port: this.ports.get(port) ?? port});
  }

  private forward(from: Socket, to: Socket, port: number): void {
    if (this.isAffected(port)) {
      this.sockets.add(from);
    }
    from.setNoDelay(true);
    from.on('data', bytes => void to.write(bytes));
    from.on('end', () => void to.end());
    from.on('error', () => undefined);
    from.on('close', hadError => {
      this.sockets.delete(from);
      if (hadError) {
        to.resetAndDestroy();
      } else {
        to.destroy();
      }
    });
  }
}
