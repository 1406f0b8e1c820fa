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
  RolloutWords,
  VersionGate,
  VersionLedger,
} from '../rollout/index.js';
import {TrueTime} from '../usage/index.js';
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
  bind(container, VersionLedger, () => new VersionLedger());
  bind(
    container,
    RolloutWords,
    context => new RolloutWords(context.get(CLOCK), context.get(LOG)),
  );
  bind(container, VersionGate, context => {
    const fleet = context.get(Fleet);
    return new VersionGate({
      clock: context.get(CLOCK),
      random: context.get(RANDOM),
      orders: context.get(RolloutOrders),
      words: context.get(RolloutWords),
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
    const referenceTime = context.get(TrueTime);
    return new RolloutDriver({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      getFence: () => container.get(Duty).getFence(),
      orders: context.get(RolloutOrders),
      store: context.get(ROLLOUT_STORE),
      ledger: context.get(VersionLedger),
      origin: createOrigin(context),
      hasService: service =>
        catalog.getView()?.catalog.services.has(service) === true,
      countReady: service => fleet.countReady(service),
      getTableMs: () => referenceTime.readSharedMs(),
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
      words: context.get(RolloutWords),
      ledger: context.get(VersionLedger),
      host: context.get(SELF).host,
      answerHere: question => driver.answer(question, origin),
      findHolder: async () => {
        const holder = await container.get(Duty).readHolder();
        return holder?.slice(0, holder.lastIndexOf('/'));
      },
      requestPeer: (...request) => container.get(Peers).request(...request),
    });
  });
}
