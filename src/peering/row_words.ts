import {z} from 'zod';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Peers} from '../peer/index.js';
import {
  ReplicaState,
  replicaStateSchema,
  RowChanges,
  rowChangesSchema,
  RowReplica,
  ForwardPosition,
} from '../replica/index.js';
import {Clock} from '../time/index.js';
import {ReadAge} from './read_age.js';

/** What is told of a replica that is not there. */
const NOTHING: RowChanges = {
  rows: [],
  after: 0,
  state: {version: 0, digest: 0},
};
const PULL_MS = 1000;
/** Time in which changes that come together are gathered, in milliseconds. */
const GATHER_MS = 10;

const DIFFERENT_METRIC = 'replicas_different';

/** Rows that a peer passes on at once, since they are news. */
export const rowsSchema = z.object({
  kind: z.literal('rows'),
  replica: z.string(),
  changes: rowChangesSchema,
});

/** What each replica of a host holds, by name. */
export const newsSchema = z.record(z.string().max(200), replicaStateSchema);

/** What the words of rows are made of. */
export interface RowWordsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Tables of which hosts tell each other news, by name. */
  readonly replicas: ReadonlyMap<string, RowReplica>;
  /** When the replicas last matched the tables. */
  readonly readAge: ReadAge;
  readonly requestPeer: Peers['request'];
  /**
   * Returns the connected peers that are to get rows at once.
   * @param isFirst - Whether the rows were read here, so that nobody else has told
   *   other data centres.
   */
  readonly listReceivers: (isFirst: boolean) => readonly string[];
}

/**
 * News of the platform's tables, from peer to peer.
 *
 * Each host tells what its replicas hold in two numbers; whoever holds less asks for
 * what it lacks. What is new is passed on at once besides.
 */
export class RowWords {
  private readonly pulling = new Set<string>();
  /** What was passed on last, by replica. */
  private readonly passed = new Map<string, ForwardPosition>();
  /** Replicas whose changes are being gathered, and whether any was read here. */
  private readonly gathering = new Map<string, boolean>();
  /** Version at which a difference from a peer was last reported, by replica. */
  private readonly reportedVersions = new Map<string, number>();

  constructor(private readonly options: RowWordsOptions) {
    options.metrics.addCounter(
      DIFFERENT_METRIC,
      'Replicas that differ from a peer’s at the same version',
    );
  }

  /** Returns what each replica holds. */
  listStates(): z.input<typeof newsSchema> {
    const states: z.input<typeof newsSchema> = {};
    for (const [name, replica] of this.options.replicas) {
      states[name] = replica.getState();
    }
    return states;
  }

  /** Returns the version, digest and age of each replica. */
  listStatesWithAge(): z.input<typeof newsSchema> {
    const states: z.input<typeof newsSchema> = {};
    for (const [name, replica] of this.options.replicas) {
      states[name] = this.getStateWithAge(name, replica);
    }
    return states;
  }

  /**
   * Answers a peer that asks for news.
   * @param name - The replica.
   * @param after - Version up to which the peer is complete.
   */
  listNews(name: string, after: number): RowChanges {
    const replica = this.options.replicas.get(name);
    if (replica === undefined) {
      return NOTHING;
    }
    const changes = replica.listChangesSince(after);
    return {...changes, state: this.getStateWithAge(name, replica)};
  }

  /**
   * Compares the replicas with a peer's, and requests news where the peer is ahead.
   * @param host - The peer.
   * @param told - What its replicas hold.
   * @param sentMs - When the request was sent that the peer replied to, monotonic
   *   milliseconds; ages are counted from then. Without it, ages are ignored.
   */
  compare(
    host: string,
    told: z.output<typeof newsSchema>,
    sentMs?: number,
  ): void {
    for (const [name, replica] of this.options.replicas) {
      const state = told[name];
      if (state === undefined) {
        continue;
      }
      this.reportDifference(name, replica, state, host);
      this.adoptAge(name, replica, state, sentMs);
      if (isBehind(replica, state)) {
        void this.pull(name, replica, host);
      }
    }
  }

  /** Takes in rows that a peer passed on. */
  receive(
    host: string,
    {replica: name, changes}: z.output<typeof rowsSchema>,
  ): void {
    const replica = this.options.replicas.get(name);
    if (replica === undefined) {
      return;
    }
    const isComplete = replica.addTold(changes, `peer:${host}`);
    if (!isComplete && isBehind(replica, changes.state)) {
      void this.pull(name, replica, host);
    }
  }

  /**
   * Passes on what is new in a replica, once the changes that come with it are in.
   * @param name - The replica.
   * @param wasRead - Whether the change was read here, and not told by a peer.
   */
  async passOn(name: string, wasRead: boolean): Promise<void> {
    const replica = this.options.replicas.get(name);
    if (replica === undefined) {
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
    const changes = replica.listChangesToForward(this.passed.get(name));
    this.passed.set(name, replica.getForwardPosition());
    const body: z.input<typeof rowsSchema> = {
      kind: 'rows',
      replica: name,
      changes,
    };
    for (const host of this.options.listReceivers(isFirst)) {
      void this.options.requestPeer(host, body, PULL_MS);
    }
  }

  /**
   * Counts and logs a replica whose digest differs from a peer's at the same version.
   * Comparing versions alone does not reveal a missed change.
   */
  private reportDifference(
    name: string,
    replica: RowReplica,
    peerState: ReplicaState,
    host: string,
  ): void {
    const {version, digest} = replica.getState();
    const isConsistent =
      version !== peerState.version || digest === peerState.digest;
    if (isConsistent || this.reportedVersions.get(name) === version) {
      return;
    }
    this.reportedVersions.set(name, version);
    this.options.metrics.increment(DIFFERENT_METRIC, {table: name});
    this.options.log.warn('replica_different', {
      table: name,
      peer: host,
      version,
      digest,
      peer_digest: peerState.digest,
    });
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
    const sentMs = this.options.clock.monotonicMs();
    const reply = await this.options.requestPeer(host, body, PULL_MS);
    this.pulling.delete(name);
    const news = rowChangesSchema.safeParse(reply.unwrapOr(undefined));
    if (!news.success) {
      this.options.log.warn('pull_failed', {
        peer: host,
        table: name,
        detail: reply.isErr ? reply.error.message : 'reply not understood',
      });
      return;
    }
    replica.addTold(news.data, `peer:${host}`);
    this.adoptAge(name, replica, news.data.state, sentMs);
  }

  private getStateWithAge(name: string, replica: RowReplica): ReplicaState {
    const ageMs = this.options.readAge.getMs(name);
    const state = replica.getState();
    return Number.isFinite(ageMs)
      ? {...state, ageMs: Math.round(ageMs)}
      : state;
  }

  /** Adopts the age of a peer's replica if it holds the same rows. */
  private adoptAge(
    name: string,
    replica: RowReplica,
    state: ReplicaState,
    sentMs: number | undefined,
  ): void {
    const {ageMs} = state;
    if (sentMs === undefined || ageMs === undefined) {
      return;
    }
    if (replica.hasSameRows(state)) {
      this.options.readAge.addTold(name, sentMs - ageMs);
    }
  }
}

/**
 * Tells whether a peer's replica has news. While nothing is known for certain, any
 * row that the peer has may be.
 */
function isBehind(replica: RowReplica, state: ReplicaState): boolean {
  const version = replica.getNewsVersion();
  const mayLack = state.version > version || version === 0;
  return mayLack && !replica.confirm(state);
}
