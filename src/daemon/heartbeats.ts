import {UsageCounter} from '../admission/index.js';
import {ConfigurationStore} from '../configuration/index.js';
import {BookDirectory, Bookkeeper} from '../journal/index.js';
import {
  HeardLoad,
  HostStatus,
  hostStatusSchema,
  LeavingHosts,
  Membership,
} from '../membership/index.js';
import {ServerDirectory} from '../routing/index.js';
import {LoadPoller} from './load_poller.js';

/** What heartbeats are made of and bring news to. */
export interface HeartbeatsOptions {
  readonly self: {
    readonly host: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    readonly address: string;
  };
  readonly configuration: ConfigurationStore;
  readonly membership: Membership;
  readonly leavingHosts: LeavingHosts;
  readonly bookkeeper: Bookkeeper;
  readonly directory: BookDirectory;
  readonly servers: ServerDirectory;
  readonly poller: LoadPoller;
  readonly usage: UsageCounter;
  /** Told of a peer that has a higher revision. */
  readonly onHigherRevision: (host: string, revision: number) => void;
}

/** Makes and takes in the heartbeats between entry hosts. */
export class Heartbeats {
  constructor(private readonly options: HeartbeatsOptions) {}

  /** Makes a heartbeat as it is now. */
  create(): HostStatus {
    const {self, membership, configuration, bookkeeper} = this.options;
    const revision = configuration.getRevision();
    return {
      host: self.host,
      dataCentre: self.dataCentre,
      incarnation: self.incarnation,
      address: self.address,
      state: membership.getOwnState(),
      revision,
      centreRevision: membership.getCentreRevision(revision),
      books: bookkeeper.listHeld().map(held => [held.book, held.fence]),
      hosts: membership.listHeard(),
      leaving: this.options.leavingHosts.list(),
      loads: this.listOwnLoads(),
      headroom: [],
      usage: this.options.usage
        .listOwn()
        .map(usage => [usage.customer, usage.inFlight]),
    };
  }

  /**
   * Takes in a heartbeat.
   * @param status - What a peer said of itself; already checked.
   */
  receive(status: HostStatus): void {
    const {configuration, membership, directory, servers} = this.options;
    if (membership.isGone(status.host, status.incarnation)) {
      return;
    }
    membership.addStatus(status);
    for (const [book, fence] of status.books) {
      directory.add({book, host: status.host, fence});
    }
    this.options.leavingHosts.addHeard(status.leaving, status.host);
    servers.addHeardLoads(status.loads);
    if (status.revision > configuration.getRevision()) {
      this.options.onHigherRevision(status.host, status.revision);
    }
  }

  /**
   * Takes in the reply to a heartbeat.
   * @param reply - The peer's own heartbeat, not yet checked.
   */
  receiveReply(reply: unknown): void {
    const parsed = hostStatusSchema.safeParse(reply);
    if (parsed.success) {
      this.receive(parsed.data);
    }
  }

  private listOwnLoads(): HeardLoad[] {
    const loads: HeardLoad[] = [];
    for (const server of this.options.poller.listPolled()) {
      const known = this.options.servers.getLoad(server);
      if (known !== undefined) {
        const {load, ageMs} = known;
        const models = load.models.map(model => ({
          ...model,
          adapters: [...model.adapters],
        }));
        loads.push({server, ageMs, ...load, models});
      }
    }
    return loads;
  }
}
