import {Agent, ClientRequest} from 'node:http';
import {Socket} from 'node:net';

/** Longest time a channel is kept idle, in milliseconds. */
const MAX_IDLE_MS = 2000;
/** Share of the other side's own idle limit that is used. */
const IDLE_SHARE = 0.6;
const MS_PER_SECOND = 1000;
const TIMEOUT_HINT = /timeout=(\d+)/i;

/** A channel's request as the agent keeps it. */
interface AgentSocket extends Socket {
  readonly _httpMessage?: {
    readonly res?: {readonly headers: Readonly<Record<string, unknown>>};
  };
}

/**
 * Channels to one server that are kept between requests.
 *
 * A channel is kept only for as long as the other side says that it waits, with
 * a margin, so that no request meets the close; one whose server does not say
 * is not kept. A channel that receives a byte while idle is closed: what comes
 * belongs to no request.
 */
export class ChannelPool extends Agent {
  private isClosing = false;

  constructor() {
    super({keepAlive: true, scheduling: 'lifo'});
  }

  /** Closes the channels that serve no request; the others end by themselves. */
  closeIdle(): void {
    this.isClosing = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        socket.destroy();
      }
    }
  }

  /** Called by the agent when a channel becomes idle. */
  override keepSocketAlive(socket: AgentSocket): boolean {
    const hint = socket._httpMessage?.res?.headers['keep-alive'];
    const seconds = TIMEOUT_HINT.exec(String(hint ?? ''))?.[1];
    if (seconds === undefined || this.isClosing) {
      return false;
    }
    const idleMs = Number(seconds) * MS_PER_SECOND * IDLE_SHARE;
    socket.setTimeout(Math.min(MAX_IDLE_MS, idleMs));
    socket.on('data', destroySocket);
    socket.unref();
    return true;
  }

  /** Called by the agent when an idle channel gets a request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off('data', destroySocket);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

function destroySocket(this: Socket): void {
  this.destroy();
}
