import {Container} from 'inversify';
import {bind} from '../container/index.js';
import {Fleet, FleetState} from '../fleet/index.js';
import {ForwardClient, ForwardTargets} from '../forwarding/index.js';
import {Metrics} from '../metrics/index.js';
import {KnownHosts} from '../peering/index.js';
import {ServiceReachability} from '../reachability/index.js';
import {createPeerKey} from './create_peer_key.js';
import {
  CLOCK,
  CLOSE_IDLE,
  LOG,
  RANDOM,
  SELF,
  TRY_CONNECTION,
} from './identifiers.js';

/** Binds whether this host reaches servers, and the way to them by other hosts. */
export function bindForwarding(container: Container): void {
  bind(
    container,
    ServiceReachability,
    context =>
      new ServiceReachability({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        metrics: context.get(Metrics),
        random: context.get(RANDOM),
        dataCentre: context.get(SELF).dataCentre,
        listServers: service =>
          container
            .get(Fleet)
            .listServers(service)
            .filter(({state}) => state === FleetState.READY),
        tryConnection: context.get(TRY_CONNECTION),
        closeIdle: context.get(CLOSE_IDLE),
      }),
  );
  bind(
    container,
    ForwardTargets,
    context =>
      new ForwardTargets({
        clock: context.get(CLOCK),
        random: context.get(RANDOM),
        dataCentre: context.get(SELF).dataCentre,
        listAlive: () => container.get(KnownHosts).listAlive(),
      }),
  );
  bind(
    container,
    ForwardClient,
    context =>
      new ForwardClient({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        metrics: context.get(Metrics),
        self: context.get(SELF).host,
        key: createPeerKey(),
        targets: context.get(ForwardTargets),
      }),
  );
}
