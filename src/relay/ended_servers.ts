import {FleetServer} from '../fleet/index.js';

/**
 * Looks whether a server's process has ended: it refuses channels. One that cannot
 * be reached, or is slow to answer, may go on with its work.
 */
export type LookForEnd = (server: FleetServer) => Promise<boolean>;

/** Ends remembered; the oldest are forgotten beyond. */
const MAX_ENDS = 1000;

/**
 * Which starts of servers are known to have ended. All requests that a server loses
 * at one moment share one look.
 */
export class EndedServers {
  private readonly looks = new Map<string, Promise<boolean>>();

  /** @param lookForEnd - Looks at a server. */
  constructor(private readonly lookForEnd: LookForEnd) {}

  /** Tells whether a server, at which a channel has broken, has ended. */
  async hasEnded(server: FleetServer): Promise<boolean> {
    const known = this.looks.get(server.id);
    if (known !== undefined) {
      return known;
    }
    const look = this.lookForEnd(server);
    this.looks.set(server.id, look);
    this.trim();
    const ended = await look;
    if (!ended) {
      this.looks.delete(server.id);
    }
    return ended;
  }

  private trim(): void {
    const [oldest] = this.looks.keys();
    if (this.looks.size > MAX_ENDS && oldest !== undefined) {
      this.looks.delete(oldest);
    }
  }
}
