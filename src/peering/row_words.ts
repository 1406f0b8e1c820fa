import {z} from 'zod';
import {Log} from '../log/index.js';
import {Peers} from '../peer/index.js';
import {RowReplica, versionedRowSchema} from '../replica/index.js';
import {Clock} from '../time/index.js';

/** Rows in one message, at most. */
const MAX_ROWS = 10_000;
const PULL_MS = 1000;
/** Time in which changes that come together are gathered, in milliseconds. */
const GATHER_MS = 10;

/** Rows that a peer passes on at once, since they are news. */
export const rowsSchema = z.object({
  kind: z.literal('rows'),
  replica: z.string(),
  rows: z.array(versionedRowSchema).max(MAX_ROWS),
  /** Version after which these are all that changed. */
  after: z.number().int().min(0),
  version: z.number().int().min(0),
});

/** Reply to a question for news. */
const newsSchema = z.object({
  rows: z.array(versionedRowSchema).max(MAX_ROWS),
  version: z.number().int().min(0),
});

/** What the words of rows are made of. */
export interface RowWordsOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Tables of which hosts tell each other news, by name. */
  readonly replicas: ReadonlyMap<string, RowReplica>;
  readonly requestPeer: Peers['request'];
  /**
   * Returns the connected peers that are to get rows at once.
   * @param isFirst - Whether the rows were read here, so that nobody else has told
   *   other data centres.
   */
  readonly listReceivers: (isFirst: boolean) => readonly string[];
}

/** News of the platform's tables, from peer to peer. */
export class RowWords {
  private readonly pulling = new Set<string>();
  /** Versions up to which news were passed on, by replica. */
  private readonly passed = new Map<string, number>();
  /** Replicas whose changes are being gathered, and whether any was read here. */
  private readonly gathering = new Map<string, boolean>();

  constructor(private readonly options: RowWordsOptions) {}

  /** Returns the highest version at which each replica has news. */
  listVersions(): Record<string, number> {
    const versions: Record<string, number> = {};
    for (const [name, replica] of this.options.replicas) {
      versions[name] = replica.getNewsVersion();
    }
    return versions;
  }

  /** Answers a peer that asks for news. */
  listNews(name: string, after: number): z.input<typeof newsSchema> {
    const replica = this.options.replicas.get(name);
    return {
      rows: replica?.listNewsSince(after) ?? [],
      version: replica?.getNewsVersion() ?? 0,
    };
  }

  /** Asks a peer for news where it has later ones. */
  compare(host: string, told: Readonly<Record<string, number>>): void {
    for (const [name, replica] of this.options.replicas) {
      if ((told[name] ?? 0) > replica.getNewsVersion()) {
        void this.pull(name, replica, host);
      }
    }
  }

  /** Takes in rows that a peer passed on. */
  receive(host: string, message: z.output<typeof rowsSchema>): void {
    const replica = this.options.replicas.get(message.replica);
    if (replica === undefined) {
      return;
    }
    const isComplete = replica.getNewsVersion() >= message.after;
    for (const row of message.rows) {
      replica.add(row, `peer:${host}`);
    }
    if (isComplete) {
      replica.setCaughtUp(message.version);
      return;
    }
    void this.pull(message.replica, replica, host);
  }

  /**
   * Passes on what is new in a replica, once the changes that come with it are in.
   * @param name - The replica.
   * @param wasRead - Whether the change was read here, and not told by a peer.
   */
  async passOn(name: string, wasRead: boolean): Promise<void> {
    if (!this.options.replicas.has(name)) {
      return;
    }
    const isGathering = this.gathering.has(name);
    this.gathering.set(name, wasRead || this.gathering.get(name) === true);
    if (isGathering) {
      return;
    }
    await this.options.clock.sleep(GATHER_MS);
    const isFirst = this.gathering.get(name) === true;
    this.gathering.delete(name);
    const after = this.passed.get(name) ?? 0;
    const {rows, version} = this.listNews(name, after);
    this.passed.set(name, version);
    const body: z.input<typeof rowsSchema> = {
      kind: 'rows',
      replica: name,
      rows,
      after,
      version,
    };
    for (const host of this.options.listReceivers(isFirst)) {
      void this.options.requestPeer(host, body, PULL_MS);
    }
  }

  /** Asks a peer for what it has that is newer; one question at a time. */
  private async pull(
    name: string,
    replica: RowReplica,
    host: string,
  ): Promise<void> {
    if (this.pulling.has(name)) {
      return;
    }
    this.pulling.add(name);
    const body = {kind: 'news', replica: name, after: replica.getNewsVersion()};
    const reply = await this.options.requestPeer(host, body, PULL_MS);
    this.pulling.delete(name);
    const news = newsSchema.safeParse(reply.unwrapOr(undefined));
    if (!news.success) {
      this.options.log.warn('pull_failed', {
        peer: host,
        table: name,
        detail: reply.isErr ? reply.error.message : 'reply not understood',
      });
      return;
    }
    for (const row of news.data.rows) {
      replica.add(row, `peer:${host}`);
    }
    replica.setCaughtUp(news.data.version);
  }
}
