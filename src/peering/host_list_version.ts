import {Clock} from '../time/index.js';
import {HostAddress} from './host_address.js';

/** Time after which an unchanged list is sent again, in milliseconds. */
const RESEND_MS = 10_000;

/**
 * Version of the list of known hosts, so that the list is sent to a peer only until the
 * peer has acknowledged it. At 350 hosts it is nine tenths of a heartbeat's size.
 */
export class HostListVersion {
  private version = 0;
  private text = '';
  private sinceMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  /** Returns the version of a list; it increases with changes, and after `RESEND_MS`. */
  getVersion(hosts: readonly HostAddress[]): number {
    const text = hosts.map(({host, address}) => `${host}@${address}`).join(' ');
    const nowMs = this.clock.monotonicMs();
    if (text !== this.text || nowMs - this.sinceMs >= RESEND_MS) {
      this.text = text;
      this.sinceMs = nowMs;
      this.version++;
    }
    return this.version;
  }
}
