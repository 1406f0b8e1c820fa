/** Assembles an entry host that relays requests, by inversify. */
import {Container} from 'inversify';
import {PlaceCounter} from '../admission/index.js';
import {ServerBackoffs} from '../backoff/index.js';
import {BrittleServices} from '../brittle/index.js';
import {CatalogStore} from '../catalog/index.js';
import {bind} from '../container/index.js';
import {Feature, Features} from '../features/index.js';
import {Fleet} from '../fleet/index.js';
import {ServerLimits} from '../limits/index.js';
import {ForwardClient} from '../forwarding/index.js';
import {Metrics} from '../metrics/index.js';
import {HostReports, KnownHosts} from '../peering/index.js';
import {
  TerminatedServers,
  Quarantine,
  SenderRuns,
} from '../quarantine/index.js';
import {ServiceReachability} from '../reachability/index.js';
import {Quota} from '../quota/index.js';
import {VersionSelector, VersionCounter} from '../rollout/index.js';
import {PlaceAdmission, Relay} from '../relay/index.js';
import {SharedRetryBudget} from '../retry_budget/index.js';
import {StreamVersions} from '../stream_versions/index.js';
import {UsageLedger} from '../usage/index.js';
import {HostLoad} from '../host_load/index.js';
import {bindDuties} from './bind_duties.js';
import {bindClusterState} from './bind_cluster_state.js';
import {bindForwarding} from './bind_forwarding.js';
import {bindHostLoad} from './bind_host_load.js';
import {bindRollouts} from './bind_rollouts.js';
import {bindStreamVersions} from './bind_stream_versions.js';
import {bindPeering} from './bind_peering.js';
import {
  CLOCK,
  COPY_RUN,
  EXCHANGE,
  HAS_IDLE_CONNECTION,
  LOG,
  CHECK_TERMINATION,
  RANDOM,
} from './identifiers.js';

/** Binds every component that does not depend on the platform. */
export function bindRelayHost(container: Container): void {
  bindClusterState(container);
  bindHostLoad(container);
  bindDuties(container);
  bindPeering(container);
  bindForwarding(container);
  bindRollouts(container);
  bindStreamVersions(container);
  bind(container, PlaceAdmission, context => {
    const features = context.get(Features);
    const reports = context.get(HostReports);
    const known = context.get(KnownHosts);
    return new PlaceAdmission({
      isEnabled: () => features.isEnabled(Feature.FAIR_PLACES),
      log: context.get(LOG),
      metrics: context.get(Metrics),
      random: context.get(RANDOM),
      catalog: context.get(CatalogStore),
      fleet: context.get(Fleet),
      counter: context.get(PlaceCounter),
      getKnownFraction: () =>
        Math.min(1, (reports.countRecent() + 1) / known.countHosts()),
    });
  });
  bind(container, Relay, context => {
    const hostLoad = context.get(HostLoad);
    const forwardClient = context.get(ForwardClient);
    return new Relay({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      random: context.get(RANDOM),
      metrics: context.get(Metrics),
      catalog: context.get(CatalogStore),
      fleet: context.get(Fleet),
      quota: context.get(Quota),
      limits: context.get(ServerLimits),
      backoffs: context.get(ServerBackoffs),
      brittle: context.get(BrittleServices),
      quarantine: context.get(Quarantine),
      retryBudget: context.get(SharedRetryBudget),
      usageLedger: context.get(UsageLedger),
      exchange: context.get(EXCHANGE),
      reachability: context.get(ServiceReachability),
      forward: (...request) => forwardClient.send(...request),
      hasIdleConnection: context.get(HAS_IDLE_CONNECTION),
      copyRun: context.get(COPY_RUN),
      terminatedServers: new TerminatedServers(
        context.get(CLOCK),
        context.get(CHECK_TERMINATION),
      ),
      senderRuns: new SenderRuns(context.get(CLOCK)),
      versionSelector: context.get(VersionSelector),
      streamVersions: context.get(StreamVersions),
      versionLedger: context.get(VersionCounter),
      placeAdmission: context.get(PlaceAdmission),
      handlePendingEvents: () => hostLoad.handlePendingEvents(),
    });
  });
}
