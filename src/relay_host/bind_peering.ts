import {Container, ResolutionContext} from 'inversify';
import {PlaceCounter} from '../admission/index.js';
import {bind} from '../container/index.js';
import {Feature, Features} from '../features/index.js';
import {Fleet} from '../fleet/index.js';
import {Duty} from '../lease/index.js';
import {ServerLimits} from '../limits/index.js';
import {Peers} from '../peer/index.js';
import {Metrics} from '../metrics/index.js';
import {
  chooseRelayLinks,
  HostReports,
  isStandbyAggregator,
  KnownHosts,
  PeerMessages,
  ReadAge,
} from '../peering/index.js';
import {Quarantine} from '../quarantine/index.js';
import {RolloutDriver} from '../rollout/index.js';
import {Quota} from '../quota/index.js';
import {StreamVersions} from '../stream_versions/index.js';
import {BulkTransfer, FetchProgress} from '../transfer/index.js';
import {HostUsage, ReferenceTime, UsageLedger} from '../usage/index.js';
import {createPeerKey} from './create_peer_key.js';
import {ShutdownState} from './shutdown_state.js';
import {
  CATALOG_ROWS,
  CLOCK,
  GET_SETTINGS,
  INCARNATION,
  LOG,
  RANDOM,
  SELF,
  SERVER_ROWS,
} from './identifiers.js';
import {REPLICA} from './replica_names.js';

/** Pause between heartbeats to peers, in milliseconds. */
const HEARTBEAT_MS = 400;
/**
 * The same for the standby aggregator of the data centre, in milliseconds: reports count for
 * two seconds, so that one may be lost. Heartbeats are most of what an idle host does.
 */
const STANDBY_HEARTBEAT_MS = 800;
/**
 * Time to wait for the reply to a heartbeat until the peer counts as not responding, in
 * milliseconds.
 */
const HEARTBEAT_TIMEOUT_MS = 1200;
/**
 * Largest frame accepted, in bytes. Hosts of the previous release send a row of up to
 * 4 MiB in one frame.
 */
const MAX_FRAME_BYTES = 8_388_608;

/** Binds the connections to other hosts and the messages exchanged on them. */
export function bindPeering(container: Container): void {
  bind(container, PeerMessages, context => {
    const state = context.get(ShutdownState);
    const features = context.get(Features);
    const counter = context.get(PlaceCounter);
    // Send heartbeats at once: the same request is retried immediately, and at any host.
    context
      .get(Quarantine)
      .addListener(() => container.get(Peers).sendHeartbeatsNow());
    context
      .get(ServerLimits)
      .addListener(() => container.get(Peers).sendHeartbeatsNow());
    return new PeerMessages({
      self: context.get(SELF),
      incarnation: context.get(INCARNATION),
      clock: context.get(CLOCK),
      log: context.get(LOG),
      metrics: context.get(Metrics),
      known: context.get(KnownHosts),
      reports: context.get(HostReports),
      readAge: context.get(ReadAge),
      fleet: context.get(Fleet),
      quota: context.get(Quota),
      listPlaces: () =>
        features.isEnabled(Feature.FAIR_PLACES) ? counter.listOwn() : [],
      limits: context.get(ServerLimits),
      quarantine: context.get(Quarantine),
      ledger: context.get(UsageLedger),
      hostUsage: context.get(HostUsage),
      referenceTime: context.get(ReferenceTime),
      replicas: new Map([
        [REPLICA.CATALOG, context.get(CATALOG_ROWS)],
        [REPLICA.SERVERS, context.get(SERVER_ROWS)],
      ]),
      answerRollout: (report, origin) =>
        container.get(RolloutDriver).handleReport(report, origin),
      streamVersions: context.get(StreamVersions),
      isStopping: () => state.isStopping(),
      holdsDuties: () => container.get(Duty).isHeld(),
      requestPeer: (...request) => container.get(Peers).request(...request),
      listConnected: () => container.get(Peers).listConnected(),
      bulk: context.get(BulkTransfer),
    });
  });
  bindTransfer(container);
  bind(container, Peers, context => createPeers(container, context));
}

/** Binds the transfer of large rows. */
function bindTransfer(container: Container): void {
  bind(
    container,
    FetchProgress,
    context => new FetchProgress(context.get(CLOCK)),
  );
  bind(container, BulkTransfer, context => {
    const features = context.get(Features);
    return new BulkTransfer({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      metrics: context.get(Metrics),
      progress: context.get(FetchProgress),
      isEnabled: () => features.isEnabled(Feature.BULK_TRANSFER),
      getLinkMbps: () => container.get(GET_SETTINGS)().linkMbps,
      requestPeer: (...request) => container.get(Peers).request(...request),
    });
  });
}

function createPeers(container: Container, context: ResolutionContext): Peers {
  const self = context.get(SELF);
  const knownHosts = context.get(KnownHosts);
  const {host, dataCentre} = self;
  const {seeds} = context.get(GET_SETTINGS)();
  return new Peers({
    connection: {
      self: {host, dataCentre, incarnation: context.get(INCARNATION)},
      key: createPeerKey(),
      maxFrameBytes: MAX_FRAME_BYTES,
      idleTimeoutMs: 2 * (HEARTBEAT_MS + HEARTBEAT_TIMEOUT_MS),
      handle: (request, from) =>
        container.get(PeerMessages).handle(request, from),
      clock: context.get(CLOCK),
      log: context.get(LOG),
    },
    random: context.get(RANDOM),
    heartbeatMs: HEARTBEAT_MS,
    getHeartbeatMs: peer =>
      isStandbyAggregator(peer.host, knownHosts)
        ? STANDBY_HEARTBEAT_MS
        : HEARTBEAT_MS,
    heartbeatTimeoutMs: HEARTBEAT_TIMEOUT_MS,
    seeds: seeds.filter(seed => seed !== self.address),
    listCandidates: () => knownHosts.listAddresses(),
    listLinks: () => chooseRelayLinks(self, knownHosts),
    createHeartbeat: (peer, acknowledged) =>
      container.get(PeerMessages).createHeartbeat(peer, acknowledged),
    receiveReply: (peer, reply, sentMs) =>
      container.get(PeerMessages).receiveReply(peer, reply, sentMs),
    onUnreachable: address => knownHosts.addUnreachable(address),
  });
}
