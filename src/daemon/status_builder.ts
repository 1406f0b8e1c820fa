import {ConfigurationStore} from '../configuration/index.js';
import {Bookkeeper} from '../journal/index.js';
import {LeavingHosts, Membership} from '../membership/index.js';
import {
  CentreLine,
  HostLine,
  ServerLine,
  SystemStatus,
} from '../operator/index.js';
import {ServerDirectory} from '../routing/index.js';
import {Clock} from '../time/index.js';
import {PlatformWatcher} from './platform_watcher.js';
import {Self} from './self.js';

/** What the status is read from. */
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

/** Puts together what this host knows of the system. */
export class StatusBuilder {
  constructor(private readonly options: StatusBuilderOptions) {}

  /** Builds the status as it is now. */
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
      data_centres: this.listCentres(hosts),
      servers: this.listServers(),
      books: bookkeeper.listHeld().map(held => held.book),
    };
  }

  private listHosts(): HostLine[] {
    const {self, membership, configuration, bookkeeper, clock} = this.options;
    const own: HostLine = {
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
      heard_ms: Number.isFinite(known.heardMs)
        ? Math.round(nowMs - known.heardMs)
        : null,
      revision: known.status?.revision ?? null,
      books: known.detail?.books.length ?? null,
    }));
    const all = [own, ...others];
    all.sort((a, b) => (a.host < b.host ? -1 : 1));
    return all;
  }

  private listCentres(hosts: readonly HostLine[]): CentreLine[] {
    const centres = new Map<string, CentreLine>();
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

  private listServers(): ServerLine[] {
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
