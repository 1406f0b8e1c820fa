import {Container} from 'inversify';
import {PlaceCounter} from '../admission/index.js';
import {ServerBackoffs} from '../backoff/index.js';
import {BrittleServices} from '../brittle/index.js';
import {CatalogStore} from '../catalog/index.js';
import {bind} from '../container/index.js';
import {Feature, Features} from '../features/index.js';
import {ConnectionCost, Fleet, FleetState} from '../fleet/index.js';
import {ServerLimits} from '../limits/index.js';
import {Metrics} from '../metrics/index.js';
import {HostReports, KnownHosts, ReadAge} from '../peering/index.js';
import {Quarantine} from '../quarantine/index.js';
import {Quota} from '../quota/index.js';
import {SharedRetryBudget} from '../retry_budget/index.js';
import {ServerModels} from '../server_model/index.js';
import {ShutdownState} from './shutdown_state.js';
import {ReferenceTime} from '../usage/index.js';
import {createFeatureRules} from './create_feature_rules.js';
import {
  CLOCK,
  FEATURE_MODES,
  GET_SETTINGS,
  HAS_IDLE_CONNECTION,
  LOG,
  RANDOM,
  SELF,
} from './identifiers.js';
import {REPLICA} from './replica_names.js';

/** Age from which the loads that a peer reported no longer count, in milliseconds. */
const STALE_MS = 2000;
/**
 * Time without contact after which a host is assumed to be gone permanently, in
 * milliseconds.
 */
const EXPIRY_MS = 30_000;

/**
 * Binds what a host knows of the system: configuration, servers, other hosts, quarantine,
 * and its shares of quotas, rate limits and retry budgets.
 */
export function bindClusterState(container: Container): void {
  bind(container, Metrics, () => new Metrics());
  bind(container, ShutdownState, () => new ShutdownState());
  bind(container, CatalogStore, context => new CatalogStore(context.get(LOG)));
  bindHosts(container);
  bind(
    container,
    Features,
    context =>
      new Features(
        context.get(FEATURE_MODES),
        createFeatureRules({
          getSettings: context.get(GET_SETTINGS),
          catalog: context.get(CatalogStore),
          known: context.get(KnownHosts),
        }),
      ),
  );
  bind(container, ServerModels, context => {
    const features = context.get(Features);
    const reports = context.get(HostReports);
    return new ServerModels({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      metrics: context.get(Metrics),
      isEnabled: () => features.isEnabled(Feature.SERVER_MODEL),
      sumPeers: () => reports.sumModels(),
    });
  });
  bind(container, Fleet, context => {
    const reports = context.get(HostReports);
    return new Fleet({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      random: context.get(RANDOM),
      dataCentre: context.get(SELF).dataCentre,
      listPeerLoads: server => reports.listLoadsAt(server),
      connectionCost: new ConnectionCost({
        isEnabled: () =>
          container.get(Features).isEnabled(Feature.CONNECTION_REUSE),
        hasIdleConnection: context.get(HAS_IDLE_CONNECTION),
        capacity: context.get(GET_SETTINGS)().capacity,
      }),
      models: context.get(ServerModels),
    });
  });
  bind(
    container,
    Quarantine,
    context =>
      new Quarantine({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        metrics: context.get(Metrics),
      }),
  );
  bind(
    container,
    ServerLimits,
    context =>
      new ServerLimits({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        metrics: context.get(Metrics),
        getReferenceMs: () => container.get(ReferenceTime).getMs(),
        getHostPosition: () => container.get(KnownHosts).getHostPosition(),
        isKnownServer: server => container.get(Fleet).get(server) !== undefined,
      }),
  );
  bind(
    container,
    ServerBackoffs,
    context =>
      new ServerBackoffs({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        metrics: context.get(Metrics),
        random: context.get(RANDOM),
      }),
  );
  bind(
    container,
    BrittleServices,
    context =>
      new BrittleServices({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        metrics: context.get(Metrics),
        listServers: service =>
          container
            .get(Fleet)
            .listServers(service)
            .filter(({state}) => state === FleetState.READY),
        countInFlight: server => container.get(Fleet).countInFlight(server),
        getHostPosition: () => container.get(KnownHosts).getHostPosition(),
      }),
  );
  bind(container, Quota, context => {
    const reports = context.get(HostReports);
    const knownHosts = context.get(KnownHosts);
    const features = context.get(Features);
    return new Quota({
      clock: context.get(CLOCK),
      sumPeerDemand: customer => reports.sumDemand(customer),
      countReportingHosts: () => reports.countReported(),
      countHosts: () => knownHosts.countHosts(),
      countReachableHosts: () => knownHosts.countAlive(),
      getBound: () => context.get(GET_SETTINGS)().quota,
      reservesForUrgent: () => features.isEnabled(Feature.URGENT_RESERVE),
    });
  });
  bind(container, PlaceCounter, context => {
    const reports = context.get(HostReports);
    return new PlaceCounter(() => reports.listPlaces());
  });
  bind(container, SharedRetryBudget, context => {
    const knownHosts = context.get(KnownHosts);
    const getSettings = context.get(GET_SETTINGS);
    return new SharedRetryBudget({
      clock: context.get(CLOCK),
      metrics: context.get(Metrics),
      random: context.get(RANDOM),
      getLimit: () => {
        const {retryRatio, retryWindowMs, retrySlack} = getSettings();
        return {
          ratio: retryRatio,
          windowMs: retryWindowMs,
          slack: retrySlack,
          hosts: knownHosts.hasReadList() ? knownHosts.countHosts() : undefined,
        };
      },
    });
  });
}

function bindHosts(container: Container): void {
  bind(
    container,
    KnownHosts,
    context =>
      new KnownHosts({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        self: context.get(SELF),
        staleMs: STALE_MS,
        expiryMs: EXPIRY_MS,
      }),
  );
  bind(
    container,
    HostReports,
    context =>
      new HostReports({
        clock: context.get(CLOCK),
        dataCentre: context.get(SELF).dataCentre,
        staleMs: STALE_MS,
        expiryMs: EXPIRY_MS,
      }),
  );
  bind(
    container,
    ReadAge,
    context => new ReadAge(context.get(CLOCK), Object.values(REPLICA)),
  );
}
