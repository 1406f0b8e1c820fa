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
import {ChangeWords} from '../changes/index.js';
import {PeerIdentity} from '../peer/index.js';
import {
  Quarantine,
  suspectNewsSchema,
  createSuspectWords,
  SuspectPage,
} from '../quarantine/index.js';
import {ServerDirectory} from '../routing/index.js';
import {Clock} from '../time/index.js';
import {LoadPoller} from './load_poller.js';
import {Self} from './self.js';

/** What heartbeats are made of and bring news to. */
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
  /** Told of a peer that has a higher revision. */
  readonly onHigherRevision: (host: string, revision: number) => void;
}

/** Reply to a heartbeat. */
const acknowledgementSchema = z.object({
  /** Version of the detail that was taken in. */
  detailVersion: z.number().int(),
  suspects: suspectNewsSchema.optional(),
});

/** Age at which an unchanged detail is sent again, in milliseconds. */
const RESEND_MS = 60_000;
/** Hosts up to which every host hears the load of every engine. */
const SMALL_SYSTEM_HOSTS = 32;
/** Age up to which a detail is not even compared, in milliseconds. */
const FRESH_MS = 200;

/**
 * Makes and takes in the heartbeats between entry hosts.
 *
 * A heartbeat is small. What changes rarely travels with it only until the
 * peer has acknowledged it, which keeps the traffic of a large system low.
 */
export class Heartbeats {
  private detail: HostDetail | undefined;
  private detailText = '';
  private detailVersion = 0;
  private changedMs = 0;
  private lookedMs = Number.NEGATIVE_INFINITY;
  private readonly facts = new Map<string, EngineFacts>();

  private readonly suspects: ChangeWords<SuspectPage>;

  constructor(private readonly options: HeartbeatsOptions) {
    this.suspects = createSuspectWords(options.quarantine);
  }

  /**
   * Makes a heartbeat as it is now.
   * @param peer - Whom it is for.
   * @param acknowledged - The peer's last acknowledgement; see `acknowledge`.
   */
  create(peer: PeerIdentity, acknowledged: unknown): Heartbeat {
    const {membership, configuration} = this.options;
    const detail = this.getDetail();
    const parsed = acknowledgementSchema.safeParse(acknowledged);
    const known =
      parsed.success && parsed.data.detailVersion === this.detailVersion;
    const reply = parsed.success ? parsed.data.suspects : undefined;
    const suspects = this.suspects.create(peer, reply);
    const revision = configuration.getRevision();
    return {
      state: membership.getOwnState(),
      revision,
      centreRevision: membership.getCentreRevision(revision),
      loads: this.isNear(peer) ? this.listLoads(detail) : [],
      usage: this.options.usage
        .listOwn()
        .map(usage => [usage.customer, usage.inFlight]),
      detailVersion: this.detailVersion,
      ...(known ? {} : {detail}),
      ...(suspects === undefined ? {} : {suspects}),
    };
  }

  /**
   * Takes in a heartbeat and makes the reply to it.
   * @param status - What a peer said of itself; already checked.
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
   * Takes in the reply to a heartbeat.
   * @param peer - Who replied.
   * @param body - The reply; not yet checked.
   */
  receiveReply(peer: PeerIdentity, body: unknown): void {
    const parsed = acknowledgementSchema.safeParse(body);
    if (parsed.success) {
      this.suspects.receive(peer, parsed.data.suspects);
    }
  }

  /** Hosts of other data centres need loads only while the system is small. */
  private isNear(peer: PeerIdentity): boolean {
    const {membership, self} = this.options;
    return (
      peer.dataCentre === self.dataCentre ||
      membership.listKnown().length < SMALL_SYSTEM_HOSTS
    );
  }

  private receive(status: HostStatus): void {
    const {configuration, membership, directory} = this.options;
    if (membership.isGone(status.host, status.incarnation)) {
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
      this.options.leavingHosts.addHeard(leaving, status.host);
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

  /** Returns the detail, under a new version if it has changed. */
  private getDetail(): HostDetail {
    const nowMs = this.options.clock.monotonicMs();
    if (this.detail !== undefined && nowMs - this.lookedMs < FRESH_MS) {
      return this.detail;
    }
    this.lookedMs = nowMs;
    const detail = this.createDetail();
    const text = JSON.stringify({
      ...detail,
      // Ages change all the time; only who is leaving is news.
      leaving: detail.leaving.map(leaving => leaving.host),
    });
    if (text !== this.detailText || nowMs - this.changedMs > RESEND_MS) {
      this.detailText = text;
      this.detailVersion++;
      this.changedMs = nowMs;
    }
    this.detail = detail;
    return detail;
  }

  private createDetail(): HostDetail {
    const {self, membership, bookkeeper, leavingHosts} = this.options;
    return {
      address: self.address,
      books: bookkeeper.listHeld().map(held => [held.book, held.fence]),
      hosts: membership.listHeard(),
      leaving: leavingHosts.list(),
      engines: this.listFacts(),
    };
  }

  private listFacts(): EngineFacts[] {
    const facts: EngineFacts[] = [];
    for (const server of this.options.poller.listPolled()) {
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

  /** Which engines are polled here is not worked out again for each peer. */
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
