import {Container} from 'inversify';
import {CatalogStore} from '../catalog/index.js';
import {bind} from '../container/index.js';
import {Fleet} from '../fleet/index.js';
import {Metrics} from '../metrics/index.js';
import {Peers} from '../peer/index.js';
import {
  chooseRelayLinks,
  HostAddress,
  KnownHosts,
  ReadAge,
} from '../peering/index.js';
import {
  OriginExchange,
  StreamLife,
  StreamOrigins,
  StreamVersions,
  VersionHistory,
  VersionRecord,
} from '../stream_versions/index.js';
import {CLOCK, GET_SETTINGS, LOG, RANDOM, SELF, TABLE} from './identifiers.js';
import {REPLICA} from './replica_names.js';

/** Binds what is known of the versions at which streams began. */
export function bindStreamVersions(container: Container): void {
  bind(
    container,
    StreamLife,
    context => new StreamLife(context.get(CatalogStore)),
  );
  bind(container, StreamOrigins, context => {
    const life = context.get(StreamLife);
    return new StreamOrigins(context.get(CLOCK), () => life.getMs());
  });
  bind(container, VersionHistory, context => {
    const fleet = context.get(Fleet);
    const readAge = context.get(ReadAge);
    const life = context.get(StreamLife);
    const history = new VersionHistory({
      clock: context.get(CLOCK),
      hasReady: (service, version) =>
        fleet.hasReady(service, server => (server.version ?? '') === version),
      getTableAgeMs: () => readAge.getMs(REPLICA.SERVERS),
      getLifeMs: () => life.getMs(),
      isFirstStart: context.get(GET_SETTINGS)().isFirstStart,
      onSeveralVersions: service =>
        container.get(StreamVersions).tellAll(service),
      onNewVersion: () => container.get(VersionRecord).update(),
      listRecorded: service => container.get(VersionRecord).list(service),
    });
    fleet.addListener(server => history.add(server));
    return history;
  });
  bind(container, VersionRecord, context => {
    const life = context.get(StreamLife);
    return new VersionRecord({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      random: context.get(RANDOM),
      table: context.get(TABLE),
      getKnown: () => container.get(VersionHistory).getKnown(),
      getLifeMs: () => life.getMs(),
    });
  });
  bind(
    container,
    OriginExchange,
    context =>
      new OriginExchange({
        clock: context.get(CLOCK),
        listTold: () => listTold(container),
        listAsked: () => listAsked(container),
        isLargeFleet: () => container.get(KnownHosts).isLargeFleet(),
        requestPeer: (...request) => container.get(Peers).request(...request),
      }),
  );
  bind(
    container,
    StreamVersions,
    context =>
      new StreamVersions({
        origins: context.get(StreamOrigins),
        history: context.get(VersionHistory),
        exchange: context.get(OriginExchange),
        metrics: context.get(Metrics),
      }),
  );
}

/** Lists the connected hosts, or in a large fleet the linked aggregators of this data centre. */
function listTold(container: Container): readonly string[] {
  const {dataCentre} = container.get(SELF);
  return listLinked(container, link => link.dataCentre === dataCentre);
}

/** Lists the connected hosts, or in a large fleet all that this host keeps a link with. */
function listAsked(container: Container): readonly string[] {
  return listLinked(container, () => true);
}

function listLinked(
  container: Container,
  isIncluded: (link: HostAddress) => boolean,
): readonly string[] {
  const known = container.get(KnownHosts);
  return known.isLargeFleet()
    ? chooseRelayLinks(container.get(SELF), known)
        .filter(isIncluded)
        .map(({host}) => host)
    : container.get(Peers).listConnected();
}
