import {Clock} from '../time/index.js';
import {HostAddress} from './host_address.js';

/** Time after which an unchanged list is told again, in milliseconds. */
const RETELL_MS = 10_000;

/**
 * Numbers the list of known hosts, so that it is told to a peer only until the
 * peer has acknowledged it. At 350 hosts it is nine tenths of a heartbeat.
 */
export class ToldHosts {
  private version = 0;
  private text = '';
  private sinceMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /** Returns the number of a list; it rises with changes, and every so often. */
  getVersion(hosts: readonly HostAddress[]): number {
    const text = hosts.map(({host, address}) => `${host}@${address}`).join(' ');
    const nowMs = this.clock.monotonicMs();
    if (text !== this.text || nowMs - this.sinceMs >= RETELL_MS) {
      this.text = text;
      this.sinceMs = nowMs;
      this.version++;
    }
    return this.version;
  }
}
