/** Bindings of placement, which one host per data centre performs under a lease. */
import {Container} from 'inversify';
import {ConfigurationStore, ServerKind} from '../../configuration/index.js';
import {Lease} from '../../lease/index.js';
import {Placer} from '../../placement/index.js';
import {ServerDirectory} from '../../routing/index.js';
import {CLOCK, LOG, SELF, TABLE} from '../identifiers.js';
import {bind} from '../../container/index.js';
import {createIsLeaving} from './create_is_leaving.js';

const LEASE_MS = 6000;
const LEASE_MARGIN_MS = 1000;
const POLL_MS = 2000;
/** Model and adapter loads per second that the weight store allows a data centre. */
const LOADS_PER_SECOND = 0.5;

/** Binds the placer and its lease. */
export function bindPlacement(container: Container): void {
  bind(container, Lease, context => {
    const self = context.get(SELF);
    return new Lease({
      table: context.get(TABLE),
      clock: context.get(CLOCK),
      role: `placement/${self.dataCentre}`,
      holder: `${self.host}/${self.incarnation}`,
      durationMs: LEASE_MS,
      marginMs: LEASE_MARGIN_MS,
    });
  });
  bind(container, Placer, context => {
    const {dataCentre} = context.get(SELF);
    const store = context.get(ConfigurationStore);
    const directory = context.get(ServerDirectory);
    const isLeaving = createIsLeaving(context);
    return new Placer({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      lease: context.get(Lease),
      listDeployments: () => store.getView().deployments.values(),
      listServers: () =>
        directory
          .listServers()
          .filter(
            server =>
              server.kind === ServerKind.ENGINE &&
              server.dataCentre === dataCentre &&
              // The loaded models are unknown until the first load report.
              directory.getLoad(server.name) !== undefined,
          )
          .map(server => ({
            name: server.name,
            dataCentre: server.dataCentre,
            models: directory.getLoad(server.name)?.load.models ?? [],
            usable: !isLeaving(server.name),
          })),
      getEngine: server => directory.getEngine(server),
      loadsPerSecond: LOADS_PER_SECOND,
      pollMs: POLL_MS,
    });
  });
}
