import {z} from 'zod';
import {UsageCounter} from '../admission/index.js';
import {ConfigurationStore} from '../configuration/index.js';
import {BookDirectory, Bookkeeper} from '../journal/index.js';
import {
  EngineFacts,
  EngineLoad,
  Heartbeat,
  HostDetail,
  HostStatus,
  LeavingHosts,
  Membership,
} from '../membership/index.js';
import {ChangeMessages} from '../changes/index.js';
import {PeerIdentity} from '../peer/index.js';
import {
  Quarantine,
  suspectUpdatesSchema,
  createSuspectMessages,
  SuspectPage,
} from '../quarantine/index.js';
import {ServerDirectory} from '../routing/index.js';
import {Clock} from '../time/index.js';
import {LoadPoller} from './load_poller.js';
import {Self} from './self.js';

/** Sources of the content of heartbeats, and receivers of what they contain. */
export interface HeartbeatsOptions {
  readonly self: Self;
  readonly clock: Clock;
  readonly configuration: ConfigurationStore;
  readonly membership: Membership;
  readonly leavingHosts: LeavingHosts;
  readonly bookkeeper: Bookkeeper;
  readonly directory: BookDirectory;
  readonly servers: ServerDirectory;
  readonly poller: LoadPoller;
  readonly usage: UsageCounter;
  readonly quarantine: Quarantine;
  /** Called when a peer reports a higher configuration revision than this host has. */
  readonly onHigherRevision: (host: string, revision: number) => void;
}

/** Reply to a heartbeat. */
const acknowledgementSchema = z.object({
  /** Version of the sender's detail that the receiver has applied. */
  detailVersion: z.number().int(),
  suspects: suspectUpdatesSchema.optional(),
});

/** Age at which an unchanged detail gets a new version and is sent again, in ms. */
const DETAIL_RESEND_MS = 60_000;
/** Number of hosts up to which every host receives the load of every engine. */
const SMALL_SYSTEM_HOSTS = 32;
/** Age up to which a detail is reused without rebuilding it, in milliseconds. */
const DETAIL_CACHE_MS = 200;

/**
 * Creates and processes the heartbeats between entry hosts.
 *
 * Heartbeats are kept small to limit the traffic of a large system: the detail,
 * which changes rarely, is included only until the peer has acknowledged it.
 */
export class Heartbeats {
  private detail: HostDetail | undefined;
  private detailText = '';
  private detailVersion = 0;
  private versionChangedMs = 0;
  private detailCheckedMs = Number.NEGATIVE_INFINITY;
  private readonly facts = new Map<string, EngineFacts>();

  private readonly suspects: ChangeMessages<SuspectPage>;

  constructor(private readonly options: HeartbeatsOptions) {
    this.suspects = createSuspectMessages(options.quarantine);
  }

  /**
   * Creates a heartbeat with the current state of this host.
   * @param peer - The receiver.
   * @param acknowledged - The peer's last acknowledgement (see `acknowledge`);
   *   not yet validated.
   */
  create(peer: PeerIdentity, acknowledged: unknown): Heartbeat {
    const {membership, configuration} = this.options;
    const detail = this.getDetail();
    const parsed = acknowledgementSchema.safeParse(acknowledged);
    const isDetailKnown =
      parsed.success && parsed.data.detailVersion === this.detailVersion;
    const peerSuspects = parsed.success ? parsed.data.suspects : undefined;
    const suspects = this.suspects.create(peer, peerSuspects);
    const revision = configuration.getRevision();
    return {
      state: membership.getOwnState(),
      revision,
      centreRevision: membership.getCentreRevision(revision),
      loads: this.needsLoads(peer) ? this.listLoads(detail) : [],
      usage: this.options.usage
        .listOwn()
        .map(usage => [usage.customer, usage.inFlight]),
      detailVersion: this.detailVersion,
      ...(isDetailKnown ? {} : {detail}),
      ...(suspects === undefined ? {} : {suspects}),
    };
  }

  /**
   * Processes a heartbeat and creates the reply to it.
   * @param status - State that a peer reports of itself; already validated.
   */
  acknowledge(status: HostStatus): z.output<typeof acknowledgementSchema> {
    this.receive(status);
    this.suspects.receive(status, status.suspects);
    const suspects = this.suspects.create(status, status.suspects);
    return {
      detailVersion: status.detailVersion,
      ...(suspects === undefined ? {} : {suspects}),
    };
  }

  /**
   * Processes the reply to a heartbeat.
   * @param peer - The peer that replied.
   * @param body - The reply; not yet validated.
   */
  receiveReply(peer: PeerIdentity, body: unknown): void {
    const parsed = acknowledgementSchema.safeParse(body);
    if (parsed.success) {
      this.suspects.receive(peer, parsed.data.suspects);
    }
  }

  /**
   * Peers of other data centres receive loads only while the system has at most
   * `SMALL_SYSTEM_HOSTS` hosts.
   */
  private needsLoads(peer: PeerIdentity): boolean {
    const {membership, self} = this.options;
    return (
      peer.dataCentre === self.dataCentre ||
      membership.listKnown().length < SMALL_SYSTEM_HOSTS
    );
  }

  private receive(status: HostStatus): void {
    const {configuration, membership, directory} = this.options;
    if (membership.isTerminated(status.host, status.incarnation)) {
      return;
    }
    membership.addStatus(status);
    if (status.detail !== undefined) {
      for (const [book, fence] of status.detail.books) {
        directory.add({book, host: status.host, fence});
      }
      for (const facts of status.detail.engines) {
        this.facts.set(facts.server, facts);
      }
      const {leaving} = status.detail;
      this.options.leavingHosts.addReported(leaving, status.host);
    }
    this.addLoads(status.loads);
    if (status.revision > configuration.getRevision()) {
      this.options.onHigherRevision(status.host, status.revision);
    }
  }

  private addLoads(loads: readonly EngineLoad[]): void {
    for (const [server, ageMs, running, waiting] of loads) {
      const facts = this.facts.get(server);
      if (facts !== undefined) {
        const load = {...facts, running, waiting};
        this.options.servers.addLoad(server, load, ageMs);
      }
    }
  }

  /** Returns the detail; raises its version if it has changed or is to be sent again. */
  private getDetail(): HostDetail {
    const nowMs = this.options.clock.monotonicMs();
    if (
      this.detail !== undefined &&
      nowMs - this.detailCheckedMs < DETAIL_CACHE_MS
    ) {
      return this.detail;
    }
    this.detailCheckedMs = nowMs;
    const detail = this.createDetail();
    const text = JSON.stringify({
      ...detail,
      // Only the names count: the ages change all the time.
      leaving: detail.leaving.map(leaving => leaving.host),
    });
    if (
      text !== this.detailText ||
      nowMs - this.versionChangedMs > DETAIL_RESEND_MS
    ) {
      this.detailText = text;
      this.detailVersion++;
      this.versionChangedMs = nowMs;
    }
    this.detail = detail;
    return detail;
  }

  private createDetail(): HostDetail {
    const {self, membership, bookkeeper, leavingHosts} = this.options;
    return {
      address: self.address,
      books: bookkeeper.listHeld().map(held => [held.book, held.fence]),
      hosts: membership.listReachable(),
      leaving: leavingHosts.list(),
      engines: this.listFacts(),
    };
  }

  private listFacts(): EngineFacts[] {
    const facts: EngineFacts[] = [];
    for (const server of this.options.poller.listAssignedServers()) {
      const load = this.options.servers.getLoad(server)?.load;
      if (load !== undefined) {
        const {capacity, prefillRate, decodeMs} = load;
        const models = load.models.map(model => ({
          ...model,
          adapters: [...model.adapters],
        }));
        facts.push({server, capacity, prefillRate, decodeMs, models});
      }
    }
    return facts;
  }

  /**
   * Lists the loads of the engines in `detail`, so that the assigned engines are
   * not computed again for each peer.
   */
  private listLoads(detail: HostDetail): EngineLoad[] {
    const loads: EngineLoad[] = [];
    for (const {server} of detail.engines) {
      const known = this.options.servers.getLoad(server);
      if (known !== undefined) {
        const {running, waiting} = known.load;
        const ageMs = Math.round(known.ageMs);
        loads.push([server, ageMs, running, waiting]);
      }
    }
    return loads;
  }
}
