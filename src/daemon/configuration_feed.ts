import {
  ConfigurationDelta,
  ConfigurationStore,
  ConfigurationTable,
} from '../configuration/index.js';
import {Log} from '../log/index.js';
import {Peers} from '../peer/index.js';
import {rankByRendezvous} from '../random/index.js';
import {Clock} from '../time/index.js';

/** What the feed works with. */
export interface ConfigurationFeedOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: ConfigurationStore;
  readonly table: ConfigurationTable;
  readonly requestPeer: Peers['request'];
  readonly host: string;
  readonly listLiveNamesHere: () => readonly string[];
  readonly pollMs: number;
}

/** Hosts of each data centre that read the table. */
const READERS_PER_CENTRE = 2;
const READER_ROLE = 'configuration-reader';
const PULL_TIMEOUT_MS = 1500;

/**
 * Brings higher revisions to this host: from the table if it is one of the
 * readers of its data centre, and from any peer that has one.
 */
export class ConfigurationFeed {
  private pulling = false;

  constructor(private readonly options: ConfigurationFeedOptions) {}

  /** Looks at the table until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isReader()) {
        await this.readTable();
      }
      await this.options.clock.sleep(this.options.pollMs, signal);
    }
  }

  /** Reads the table if its revision is higher. */
  async readTable(): Promise<void> {
    const {store, table} = this.options;
    const revision = await table.getRevision();
    if (revision.isErr || revision.value <= store.getRevision()) {
      return;
    }
    const delta = await table.read();
    if (delta.isOk) {
      store.apply(delta.value, 'table');
    }
  }

  /**
   * Pulls what changed from a peer that has a higher revision.
   * @param host - The peer.
   */
  async pull(host: string): Promise<void> {
    if (this.pulling) {
      return;
    }
    this.pulling = true;
    const after = this.options.store.getRevision();
    const reply = await this.options.requestPeer(
      host,
      {kind: 'pull-configuration', after},
      PULL_TIMEOUT_MS,
    );
    this.pulling = false;
    if (reply.isOk) {
      // Peers have proved that they know the shared key; what they send was
      // checked when it was accepted.
      this.options.store.apply(reply.value as ConfigurationDelta, host);
    }
  }

  private isReader(): boolean {
    const {host, listLiveNamesHere, store} = this.options;
    if (store.getRevision() === 0) {
      return true;
    }
    return rankByRendezvous(READER_ROLE, listLiveNamesHere())
      .slice(0, READERS_PER_CENTRE)
      .includes(host);
  }
}
