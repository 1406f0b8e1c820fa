import {PeerIdentity} from '../peer/index.js';

/** A page of changes, complete up to a version. */
export interface ChangePage {
  readonly version: number;
}

/** A page of changes, and the version of the receiver that the sender has received. */
export type AcknowledgingPage<Page extends ChangePage> = Page & {
  readonly heard: number;
};

/** Versioned state of this host that is exchanged with peers. */
export interface ChangeSource<Page extends ChangePage> {
  /** Returns the version after the last change; 0 before the first. */
  readonly getVersion: () => number;
  /** Lists what has changed since a version. */
  readonly listSince: (version: number) => Page;
  /** Merges the changes that a peer sent. */
  readonly merge: (page: Page, from: PeerIdentity) => void;
}

/** Maximum number of peer incarnations whose received version is kept. */
const MAX_INCARNATIONS = 4096;

/**
 * Exchanges changes with peers: each host sends each linked peer what has changed since
 * the version that this peer last acknowledged, both its own changes and those that it
 * received from others.
 */
export class ChangeMessages<Page extends ChangePage> {
  /** Last version received from a peer, by host and incarnation. */
  private readonly received = new Map<string, number>();

  constructor(private readonly source: ChangeSource<Page>) {}

  /**
   * Creates the changes to send with a heartbeat or a reply; `undefined` while there
   * are none on either side.
   * @param peer - The receiver.
   * @param acknowledged - The version that the peer last acknowledged.
   */
  create(
    peer: PeerIdentity,
    acknowledged: {readonly heard: number} | undefined,
  ): AcknowledgingPage<Page> | undefined {
    const received = this.received.get(toKey(peer)) ?? 0;
    if (this.source.getVersion() === 0 && received === 0) {
      return undefined;
    }
    return {
      ...this.source.listSince(acknowledged?.heard ?? 0),
      heard: received,
    };
  }

  /** Merges the changes that a peer sent, and keeps their version to acknowledge it. */
  receive(from: PeerIdentity, page: Page | undefined): void {
    if (page === undefined) {
      return;
    }
    this.source.merge(page, from);
    const key = toKey(from);
    this.received.delete(key);
    this.received.set(key, page.version);
    const [oldest] = this.received.keys();
    if (this.received.size > MAX_INCARNATIONS && oldest !== undefined) {
      this.received.delete(oldest);
    }
  }
}

function toKey({host, incarnation}: PeerIdentity): string {
  return `${host}/${incarnation}`;
}
