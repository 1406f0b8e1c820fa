import {Result} from 'true-myth';
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
import {
  BulkAbility,
  BulkChanges,
  BulkTransfer,
  FetchSource,
} from '../transfer/index.js';
import {ReadAge} from './read_age.js';

/** Reply to a request for a replica that does not exist. */
const NO_CHANGES: RowChanges = {
  rows: [],
  after: 0,
  state: {version: 0, digest: 0},
};
const PULL_TIMEOUT_MS = 1000;
/** Time for which changes are collected before they are forwarded, in milliseconds. */
const COLLECT_MS = 10;

const DIFFERENT_METRIC = 'replicas_different';

/** Message with new rows, which a peer forwards at once. */
export const rowsSchema = z.object({
  kind: z.literal('rows'),
  replica: z.string(),
  changes: rowChangesSchema,
});

/** States of a host's replicas, by name. */
export const replicaStatesSchema = z.record(
  z.string().max(200),
  replicaStateSchema,
);

/** A peer that has rows which this host lacks. */
interface WaitingPeer {
  readonly host: string;
  readonly state: ReplicaState;
}

/** Dependencies of the messages with table rows. */
export interface RowMessagesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Replicas of the tables whose updates hosts exchange, by name. */
  readonly replicas: ReadonlyMap<string, RowReplica>;
  /** Times at which the replicas last matched the tables. */
  readonly readAge: ReadAge;
  readonly requestPeer: Peers['request'];
  /** Transfers large rows; absent if this host does not. */
  readonly bulk?: BulkTransfer;
  /**
   * Returns the connected peers that are sent new rows at once.
   * @param isFirst - Whether this host has read the rows from the table, so that no
   *   other host has sent them to other data centres.
   */
  readonly listReceivers: (isFirst: boolean) => readonly string[];
}

/**
 * Exchanges updates of the platform's tables between peers.
 *
 * Each host reports the version and digest of its replicas, and a host that is behind
 * requests the missing rows. In addition, new rows are forwarded at once.
 */
export class RowMessages {
  /** Peer that is being asked, by replica. */
  private readonly pulling = new Map<string, string>();
  /** Last peer found ahead during a request, preferably to another one, by replica. */
  private readonly waiting = new Map<string, WaitingPeer>();
  /** Position up to which changes were forwarded, by replica. */
  private readonly forwarded = new Map<string, ForwardPosition>();
  /** Replicas whose changes are being collected, and whether this host read any of them. */
  private readonly collecting = new Map<string, boolean>();
  /** Version at which a difference from a peer was last reported, by replica. */
  private readonly reportedVersions = new Map<string, number>();

  constructor(private readonly options: RowMessagesOptions) {
    options.metrics.addCounter(
      DIFFERENT_METRIC,
      'Replicas that differ from a peer’s at the same version',
    );
  }

  /** Returns the version and digest of each replica. */
  listStates(): z.input<typeof replicaStatesSchema> {
    const states: z.input<typeof replicaStatesSchema> = {};
    for (const [name, replica] of this.options.replicas) {
      states[name] = replica.getState();
    }
    return states;
  }

  /** Returns the version, digest and age of each replica. */
  listStatesWithAge(): z.input<typeof replicaStatesSchema> {
    const states: z.input<typeof replicaStatesSchema> = {};
    for (const [name, replica] of this.options.replicas) {
      states[name] = this.getStateWithAge(name, replica);
    }
    return states;
  }

  /**
   * Answers a peer's request for updates.
   * @param name - Name of the replica.
   * @param after - Version up to which the peer is complete.
   * @param ability - What the peer understands; `undefined` for the previous release.
   */
  async listUpdates(
    name: string,
    after: number,
    ability: BulkAbility | undefined,
  ): Promise<BulkChanges> {
    const replica = this.options.replicas.get(name);
    if (replica === undefined) {
      return NO_CHANGES;
    }
    const changes = {
      ...replica.listChangesSince(after),
      state: this.getStateWithAge(name, replica),
    };
    return this.getBulk()?.outgoing.pack(name, changes, ability) ?? changes;
  }

  /**
   * Compares the replicas with a peer's, and requests updates where the peer is ahead.
   * @param host - The peer.
   * @param states - States of its replicas.
   * @param sentMs - When the request was sent that the peer replied to, monotonic
   *   milliseconds; ages are counted from then. Without it, ages are ignored.
   */
  compare(
    host: string,
    states: z.output<typeof replicaStatesSchema>,
    sentMs?: number,
  ): void {
    for (const [name, replica] of this.options.replicas) {
      const state = states[name];
      if (state === undefined) {
        continue;
      }
      this.reportDifference(name, replica, state, host);
      this.adoptAge(name, replica, state, sentMs);
      if (isBehind(replica, state)) {
        void this.pull(name, replica, {host, state});
      }
    }
  }

  /** Merges rows that a peer forwarded, and requests the ones missed before them. */
  receive(
    host: string,
    {replica: name, changes}: z.output<typeof rowsSchema>,
  ): void {
    const replica = this.options.replicas.get(name);
    if (replica === undefined) {
      return;
    }
    const isComplete = replica.addPeerChanges(changes, `peer:${host}`);
    if (!isComplete && isBehind(replica, changes.state)) {
      void this.pull(name, replica, {host, state: changes.state});
    }
  }

  /**
   * Forwards new rows of a replica after a short delay, together with the changes that
   * arrive in it.
   * @param name - Name of the replica.
   * @param wasRead - Whether the change was read from the table by this host, rather
   *   than received from a peer.
   */
  async forward(name: string, wasRead: boolean): Promise<void> {
    const replica = this.options.replicas.get(name);
    if (replica === undefined) {
      return;
    }
    const isCollecting = this.collecting.has(name);
    this.collecting.set(name, wasRead || this.collecting.get(name) === true);
    if (isCollecting) {
      return;
    }
    await this.options.clock.sleep(COLLECT_MS);
    const isFirst = this.collecting.get(name) === true;
    this.collecting.delete(name);
    const changes = replica.listChangesToForward(this.forwarded.get(name));
    this.forwarded.set(name, replica.getForwardPosition());
    const body: z.input<typeof rowsSchema> = {
      kind: 'rows',
      replica: name,
      changes: this.getBulk()?.outgoing.announce(name, changes) ?? changes,
    };
    for (const host of this.options.listReceivers(isFirst)) {
      void this.options.requestPeer(host, body, PULL_TIMEOUT_MS);
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
    if (isConsistent) {
      return;
    }
    replica.markDifferent();
    if (this.reportedVersions.get(name) === version) {
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

  /** Requests newer rows from a peer; one request per replica at a time. */
  private async pull(
    name: string,
    replica: RowReplica,
    peer: WaitingPeer,
  ): Promise<void> {
    const bulk = this.getBulk();
    const asked = this.pulling.get(name);
    if (asked !== undefined) {
      if (peer.host !== asked || !this.waiting.has(name)) {
        this.waiting.set(name, peer);
      }
      return;
    }
    if (bulk?.progress.isProgressing(name, FetchSource.STORE) === true) {
      // Later heartbeats cause a request if the store does not give what the peer has.
      return;
    }
    const {host} = peer;
    this.pulling.set(name, host);
    this.waiting.delete(name);
    const sentMs = this.options.clock.monotonicMs();
    const changes =
      bulk === undefined
        ? await this.pullPlain(name, replica, host)
        : await bulk.incoming.pull(host, name, replica);
    this.pulling.delete(name);
    if (changes.isErr) {
      const {error: detail} = changes;
      this.options.log.warn('pull_failed', {peer: host, table: name, detail});
    } else {
      replica.addPeerChanges(changes.value, `peer:${host}`);
      this.adoptAge(name, replica, changes.value.state, sentMs);
    }
    const next = this.waiting.get(name);
    if (bulk !== undefined && next !== undefined) {
      this.pullFromNext(name, replica, next);
    }
  }

  /** Requests what a peer has announced during a request that did not give it. */
  private pullFromNext(
    name: string,
    replica: RowReplica,
    next: WaitingPeer,
  ): void {
    this.waiting.delete(name);
    if (isBehind(replica, next.state)) {
      void this.pull(name, replica, next);
    }
  }

  private async pullPlain(
    name: string,
    replica: RowReplica,
    host: string,
  ): Promise<Result<RowChanges, string>> {
    const body = {kind: 'news', replica: name, after: replica.getVersion()};
    const reply = await this.options.requestPeer(host, body, PULL_TIMEOUT_MS);
    if (reply.isErr) {
      return Result.err(reply.error.message);
    }
    const changes = rowChangesSchema.safeParse(reply.value);
    return changes.success
      ? Result.ok(changes.data)
      : Result.err('reply does not match the schema');
  }

  /** Returns the transfer of large rows if it is on. */
  private getBulk(): BulkTransfer | undefined {
    const {bulk} = this.options;
    return bulk?.isEnabled() === true ? bulk : undefined;
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
      this.options.readAge.addReported(name, sentMs - ageMs);
    }
  }
}

/**
 * Returns whether a peer's replica may have rows that this one lacks. At version 0,
 * nothing is known to be complete, so the peer's version does not matter.
 */
function isBehind(replica: RowReplica, state: ReplicaState): boolean {
  const version = replica.getVersion();
  const mayLack = state.version > version || version === 0;
  return mayLack && !replica.confirm(state);
}
