import {
  ConfigurationDelta,
  ConfigurationStore,
  ConfigurationTable,
} from '../configuration/index.js';
import {Log} from '../log/index.js';
import {Peers} from '../peer/index.js';
import {rankByRendezvous} from '../random/index.js';
import {Clock} from '../time/index.js';

/** Dependencies and settings of the configuration feed. */
export interface ConfigurationFeedOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: ConfigurationStore;
  readonly table: ConfigurationTable;
  readonly requestPeer: Peers['request'];
  readonly host: string;
  /** Returns the names of the live hosts of this data centre, this one included. */
  readonly listLiveNamesHere: () => readonly string[];
  /** Pause between two reads of the table, in milliseconds. */
  readonly pollMs: number;
}

/** Number of hosts per data centre that poll the table. */
const READERS_PER_DATA_CENTRE = 2;
const READER_ROLE = 'configuration-reader';
const PULL_TIMEOUT_MS = 1500;

/**
 * Fetches higher configuration revisions: from the table if this host is one of
 * the readers of its data centre, and from any peer that has a higher revision.
 */
export class ConfigurationFeed {
  private pulling = false;

  constructor(private readonly options: ConfigurationFeedOptions) {}

  /** Polls the table until aborted, while this host is a reader. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isReader()) {
        await this.readTable();
      }
      await this.options.clock.sleep(this.options.pollMs, signal);
    }
  }

  /** Reads the records from the table if its revision is higher than this host's. */
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
   * Fetches the changes from a peer that has a higher revision. Does nothing while
   * another pull is in progress.
   * @param host - Name of the peer.
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
      // Not validated again: peers are authenticated by the shared key, and the
      // records were validated when they were accepted.
      this.options.store.apply(reply.value as ConfigurationDelta, host);
    }
  }

  private isReader(): boolean {
    const {host, listLiveNamesHere, store} = this.options;
    if (store.getRevision() === 0) {
      return true;
    }
    return rankByRendezvous(READER_ROLE, listLiveNamesHere())
      .slice(0, READERS_PER_DATA_CENTRE)
      .includes(host);
  }
}
