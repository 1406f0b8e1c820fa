import {PeerIdentity} from '../peer/index.js';

/** Changes up to a version. */
export interface ChangePage {
  readonly version: number;
}

/** Changes up to a version, and the receiver's version that the sender has heard. */
export type HeardPage<Page extends ChangePage> = Page & {
  readonly heard: number;
};

/** What changes at this host, and takes in what peers tell. */
export interface ChangeSource<Page extends ChangePage> {
  /** Returns the version that the last change made; 0 before the first. */
  readonly getVersion: () => number;
  /** Tells what has changed since a version. */
  readonly listSince: (version: number) => Page;
  /** Takes in what a peer tells. */
  readonly merge: (page: Page, from: PeerIdentity) => void;
}

/** Starts of peers that are remembered with what was heard of them. */
const MAX_STARTS = 4096;

/**
 * Changes from peer to peer: each host tells each that it is linked with what changed
 * since that one last acknowledged, its own and what it heard.
 */
export class ChangeWords<Page extends ChangePage> {
  /** Version heard of a peer, by host and start. */
  private readonly heard = new Map<string, number>();

  constructor(private readonly source: ChangeSource<Page>) {}

  /**
   * Makes what is told with a heartbeat or a reply; nothing while nothing has changed.
   * @param peer - Whom it is for.
   * @param acknowledged - What the peer told last of what it has heard.
   */
  create(
    peer: PeerIdentity,
    acknowledged: {readonly heard: number} | undefined,
  ): HeardPage<Page> | undefined {
    const heard = this.heard.get(toKey(peer)) ?? 0;
    if (this.source.getVersion() === 0 && heard === 0) {
      return undefined;
    }
    return {...this.source.listSince(acknowledged?.heard ?? 0), heard};
  }

  /** Takes in what a peer tells. */
  receive(from: PeerIdentity, page: Page | undefined): void {
    if (page === undefined) {
      return;
    }
    this.source.merge(page, from);
    const key = toKey(from);
    this.heard.delete(key);
    this.heard.set(key, page.version);
    const [oldest] = this.heard.keys();
    if (this.heard.size > MAX_STARTS && oldest !== undefined) {
      this.heard.delete(oldest);
    }
  }
}

function toKey({host, incarnation}: PeerIdentity): string {
  return `${host}/${incarnation}`;
}
