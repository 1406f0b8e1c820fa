import {PeerIdentity} from '../peer/index.js';
import {Quarantine} from './quarantine.js';
import {SuspectNews} from './suspect.js';

/** Starts of peers that are remembered with what was heard of them. */
const MAX_STARTS = 4096;

/**
 * Requests that end servers, from peer to peer: each host tells each that it is linked
 * with what changed since that one last acknowledged, its own and what it heard.
 */
export class SuspectWords {
  /** Version heard of a peer, by host and start. */
  private readonly heard = new Map<string, number>();

  constructor(private readonly quarantine: Quarantine) {}

  /**
   * Makes what is told with a heartbeat or a reply; nothing while there is no suspect.
   * @param peer - Whom it is for.
   * @param acknowledged - What the peer told last of what it has heard.
   */
  create(
    peer: PeerIdentity,
    acknowledged: SuspectNews | undefined,
  ): SuspectNews | undefined {
    const heard = this.heard.get(toKey(peer)) ?? 0;
    if (this.quarantine.getVersion() === 0 && heard === 0) {
      return undefined;
    }
    const page = this.quarantine.listSince(acknowledged?.heard ?? 0);
    return {version: page.version, heard, suspects: [...page.suspects]};
  }

  /** Takes in what a peer tells. */
  receive(from: PeerIdentity, news: SuspectNews | undefined): void {
    if (news === undefined) {
      return;
    }
    this.quarantine.merge(news.suspects);
    const key = toKey(from);
    this.heard.delete(key);
    this.heard.set(key, news.version);
    const [oldest] = this.heard.keys();
    if (this.heard.size > MAX_STARTS && oldest !== undefined) {
      this.heard.delete(oldest);
    }
  }
}

function toKey({host, incarnation}: PeerIdentity): string {
  return `${host}/${incarnation}`;
}
