import {PlacesInUse} from '../../src/admission/index.js';
import {Fleet, FleetServer, FleetState} from '../../src/fleet/index.js';
import {ServerLimits} from '../../src/limits/index.js';
import {Log, SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {
  HostAddress,
  HostReports,
  KnownHosts,
  PeerMessages,
  ReadAge,
} from '../../src/peering/index.js';
import {Quarantine} from '../../src/quarantine/index.js';
import {Quota} from '../../src/quota/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {RowReplica} from '../../src/replica/index.js';
import {ServerModels} from '../../src/server_model/index.js';
import {Clock} from '../../src/time/index.js';
import {HostUsage, ReferenceTime, UsageLedger} from '../../src/usage/index.js';

export const WINDOW_MS = 5000;
export const TABLE = 'servers';
const STALE_MS = 2000;
const GONE_MS = 30_000;

/** Simulated connections of a host. */
export interface PeerHostLinks {
  readonly requestPeer: (host: string, body: unknown) => Promise<unknown>;
  readonly listConnected: () => readonly string[];
}

/** One host with its state and messages, without sockets. */
export class PeerHost {
  readonly known: KnownHosts;
  readonly reports: HostReports;
  readonly readAge: ReadAge;
  readonly fleet: Fleet;
  readonly models: ServerModels;
  /** Whether this host learns the times of servers. */
  learnsTimes = false;
  readonly quota: Quota;
  readonly ledger: UsageLedger;
  readonly hostUsage = new HostUsage();
  readonly metrics = new Metrics();
  readonly replica = new RowReplica({getSignificantContent: text => text});
  readonly quarantine: Quarantine;
  readonly limits: ServerLimits;
  readonly messages: PeerMessages;
  holdsDuties = false;
  /** Requests in flight of this host; `undefined` if it does not report them. */
  places: readonly PlacesInUse[] | undefined;

  constructor(
    readonly self: HostAddress,
    readonly incarnation: string,
    readonly clock: Clock,
    links: PeerHostLinks,
    log: Log = new SilentLog(),
  ) {
    this.known = new KnownHosts({
      clock,
      log,
      self,
      staleMs: STALE_MS,
      expiryMs: GONE_MS,
    });
    this.reports = new HostReports({
      clock,
      dataCentre: self.dataCentre,
      staleMs: STALE_MS,
      expiryMs: GONE_MS,
    });
    this.readAge = new ReadAge(clock, [TABLE]);
    this.models = new ServerModels({
      clock,
      log,
      metrics: this.metrics,
      isEnabled: () => this.learnsTimes,
      sumPeers: () => this.reports.sumModels(),
    });
    this.fleet = new Fleet({
      clock,
      log,
      random: new SeededRandom(1),
      dataCentre: self.dataCentre,
      listPeerLoads: server => this.reports.listLoadsAt(server),
      models: this.models,
    });
    this.quota = new Quota({
      clock,
      sumPeerDemand: customer => this.reports.sumDemand(customer),
      countReportingHosts: () => this.reports.countReported(),
      countHosts: () => this.known.countHosts(),
      countReachableHosts: () => this.known.countAlive(),
      getBound: () => ({windowMs: 8000, overage: 0.1, slack: 140_000}),
    });
    this.ledger = new UsageLedger(WINDOW_MS, () => clock.monotonicMs());
    const {metrics} = this;
    this.quarantine = new Quarantine({clock, log, metrics});
    this.limits = new ServerLimits({
      clock,
      log,
      metrics,
      getReferenceMs: () => clock.now().getTime(),
      getHostPosition: () => this.known.getHostPosition(),
      isKnownServer: () => true,
    });
    this.messages = new PeerMessages({
      self,
      incarnation,
      clock,
      log,
      metrics: this.metrics,
      known: this.known,
      reports: this.reports,
      readAge: this.readAge,
      fleet: this.fleet,
      quota: this.quota,
      listPlaces: () => this.places ?? [],
      limits: this.limits,
      quarantine: this.quarantine,
      ledger: this.ledger,
      hostUsage: this.hostUsage,
      referenceTime: new ReferenceTime(clock, self.host),
      replicas: new Map([[TABLE, this.replica]]),
      answerRollout: () => ({isHolder: false}),
      streamVersions: {
        receive: () => undefined,
        answer: async () => ({}),
      },
      isStopping: () => false,
      holdsDuties: () => this.holdsDuties,
      requestPeer: links.requestPeer as never,
      listConnected: links.listConnected,
    });
    this.replica.addListener((_row, source) =>
      this.messages.forwardRows(TABLE, source === 'store'),
    );
  }

  /** Adds a ready server to the fleet of this host. */
  addServer(id: string): void {
    const server: FleetServer = {
      id,
      name: id,
      startedMs: 0,
      service: 'desk',
      address: `${id}:1`,
      dataCentre: this.self.dataCentre,
      slots: 12,
      state: FleetState.READY,
      reclaimable: false,
    };
    this.fleet.register(server, 'test');
  }

  /** Returns the requests of other hosts that run at a server, as this host knows. */
  countRunning(server: string): number {
    return this.reports
      .listLoadsAt(server)
      .reduce((sum, {running}) => sum + running, 0);
  }
}
