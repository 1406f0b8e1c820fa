import {Container} from 'inversify';
import {CatalogStore} from '../catalog/index.js';
import {bind} from '../container/index.js';
import {Fleet} from '../fleet/index.js';
import {Duty} from '../lease/index.js';
import {Peers} from '../peer/index.js';
import {
  RolloutClient,
  RolloutDriver,
  RolloutOrders,
  RolloutDirectives,
  VersionSelector,
  VersionCounter,
} from '../rollout/index.js';
import {VersionHistory, VersionRecord} from '../stream_versions/index.js';
import {ReferenceTime} from '../usage/index.js';
import {createOrigin} from './create_origin.js';
import {
  CLOCK,
  GET_SETTINGS,
  LOG,
  RANDOM,
  ROLLOUT_STORE,
  SELF,
} from './identifiers.js';

/** Binds the components that roll out new versions of services. */
export function bindRollouts(container: Container): void {
  bind(container, RolloutOrders, () => new RolloutOrders());
  bind(container, VersionCounter, () => new VersionCounter());
  bind(
    container,
    RolloutDirectives,
    context => new RolloutDirectives(context.get(CLOCK), context.get(LOG)),
  );
  bind(container, VersionSelector, context => {
    const fleet = context.get(Fleet);
    const history = context.get(VersionHistory);
    const record = context.get(VersionRecord);
    return new VersionSelector({
      clock: context.get(CLOCK),
      random: context.get(RANDOM),
      orders: context.get(RolloutOrders),
      directives: context.get(RolloutDirectives),
      needsOrders: () => context.get(GET_SETTINGS)().ordersVersions,
      isEstablished: (service, version) =>
        history.isEstablished(service, version),
      isRecorded: (service, version) => record.isRecorded(service, version),
      countReady: service => fleet.countReady(service),
    });
  });
  bindDriver(container);
  bindClient(container);
}

function bindDriver(container: Container): void {
  bind(container, RolloutDriver, context => {
    const fleet = context.get(Fleet);
    const catalog = context.get(CatalogStore);
    const referenceTime = context.get(ReferenceTime);
    return new RolloutDriver({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      getFence: () => container.get(Duty).getFence(),
      orders: context.get(RolloutOrders),
      store: context.get(ROLLOUT_STORE),
      counter: context.get(VersionCounter),
      origin: createOrigin(context),
      hasService: service =>
        catalog.getView()?.catalog.services.has(service) === true,
      countReady: service => fleet.countReady(service),
      getTableTimeMs: () => referenceTime.readSharedMs(),
      getBound: () => context.get(GET_SETTINGS)().exposure,
    });
  });
}

function bindClient(container: Container): void {
  bind(container, RolloutClient, context => {
    const driver = context.get(RolloutDriver);
    const origin = createOrigin(context);
    return new RolloutClient({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      orders: context.get(RolloutOrders),
      directives: context.get(RolloutDirectives),
      counter: context.get(VersionCounter),
      host: context.get(SELF).host,
      handleLocally: report => driver.handleReport(report, origin),
      findHolder: async () => {
        const holder = await container.get(Duty).readHolder();
        return holder?.slice(0, holder.lastIndexOf('/'));
      },
      requestPeer: (...request) => container.get(Peers).request(...request),
    });
  });
}
