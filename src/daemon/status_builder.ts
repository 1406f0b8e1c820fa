import {ConfigurationStore} from '../configuration/index.js';
import {Bookkeeper} from '../journal/index.js';
import {LeavingHosts, Membership} from '../membership/index.js';
import {
  DataCentreSummary,
  HostSummary,
  ServerSummary,
  SystemStatus,
} from '../operator/index.js';
import {ServerDirectory} from '../routing/index.js';
import {Clock} from '../time/index.js';
import {PlatformWatcher} from './platform_watcher.js';
import {Self} from './self.js';

/** Sources of the system status. */
export interface StatusBuilderOptions {
  readonly self: Self;
  readonly clock: Clock;
  readonly configuration: ConfigurationStore;
  readonly membership: Membership;
  readonly leavingHosts: LeavingHosts;
  readonly bookkeeper: Bookkeeper;
  readonly servers: ServerDirectory;
  readonly platform: PlatformWatcher;
}

/** Builds the system status from what this host knows. */
export class StatusBuilder {
  constructor(private readonly options: StatusBuilderOptions) {}

  /** Returns the current status. */
  build(): SystemStatus {
    const {self, membership, configuration, bookkeeper} = this.options;
    const hosts = this.listHosts();
    return {
      host: self.host,
      data_centre: self.dataCentre,
      state: membership.getOwnState(),
      revision: configuration.getRevision(),
      platform_reachable: this.options.platform.isReachable(),
      hosts,
      data_centres: this.listDataCentres(hosts),
      servers: this.listServers(),
      books: bookkeeper.listHeld().map(held => held.book),
    };
  }

  private listHosts(): HostSummary[] {
    const {self, membership, configuration, bookkeeper, clock} = this.options;
    const own: HostSummary = {
      host: self.host,
      data_centre: self.dataCentre,
      state: membership.getOwnState(),
      alive: true,
      heard_ms: 0,
      revision: configuration.getRevision(),
      books: bookkeeper.listHeld().length,
    };
    const nowMs = clock.monotonicMs();
    const others = membership.listKnown().map(known => ({
      host: known.host,
      data_centre: known.dataCentre,
      state: known.state,
      alive: membership.isAlive(known),
      heard_ms: Number.isFinite(known.lastContactMs)
        ? Math.round(nowMs - known.lastContactMs)
        : null,
      revision: known.status?.revision ?? null,
      books: known.detail?.books.length ?? null,
    }));
    const all = [own, ...others];
    all.sort((a, b) => (a.host < b.host ? -1 : 1));
    return all;
  }

  private listDataCentres(hosts: readonly HostSummary[]): DataCentreSummary[] {
    const centres = new Map<string, DataCentreSummary>();
    for (const host of hosts) {
      if (!host.alive) {
        continue;
      }
      const known = centres.get(host.data_centre);
      const revisions = [known?.revision, host.revision].filter(
        revision => typeof revision === 'number',
      );
      centres.set(host.data_centre, {
        data_centre: host.data_centre,
        hosts: (known?.hosts ?? 0) + 1,
        revision: revisions.length === 0 ? null : Math.min(...revisions),
      });
    }
    return [...centres.values()];
  }

  private listServers(): ServerSummary[] {
    const {servers, leavingHosts} = this.options;
    return servers.listServers().map(server => {
      const load = servers.getLoad(server.name)?.load;
      const leaving = server.drained || leavingHosts.isLeaving(server.name);
      const engine = server.kind === 'engine';
      const state = leaving
        ? 'leaving'
        : servers.isEjected(server.name)
          ? 'ejected'
          : engine && load === undefined
            ? 'unheard'
            : 'serving';
      return {
        server: server.name,
        data_centre: server.dataCentre,
        runs: engine ? 'engine' : server.service,
        state,
        in_flight: servers.countInFlight(server.name),
        running: load?.running ?? null,
        waiting: load?.waiting ?? null,
        capacity: load?.capacity ?? null,
        models:
          load?.models.map(model => `${model.name}@${model.version}`) ?? [],
      };
    });
  }
}
