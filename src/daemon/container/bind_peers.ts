/** Bindings of the connections to peers, heartbeats and what they update. */
import {Container, ResolutionContext} from 'inversify';
import {UsageCounter} from '../../admission/index.js';
import {
  ConfigurationStore,
  ConfigurationTable,
} from '../../configuration/index.js';
import {GenerationRunner, GenerationStore} from '../../generation/index.js';
import {BookDirectory, Bookkeeper} from '../../journal/index.js';
import {LeavingHosts, Membership} from '../../membership/index.js';
import {Peers} from '../../peer/index.js';
import {Quarantine} from '../../quarantine/index.js';
import {ServerDirectory} from '../../routing/index.js';
import {ConfigurationFeed} from '../configuration_feed.js';
import {Drain} from '../drain.js';
import {Heartbeats} from '../heartbeats.js';
import {CLOCK, LOG, RANDOM, SELF, SETTINGS} from '../identifiers.js';
import {LoadPoller} from '../load_poller.js';
import {PeerRequestHandler} from '../peer_request_handler.js';
import {bind} from '../../container/index.js';

/** Binds the exchange with peers: connections, heartbeats and configuration. */
export function bindPeers(container: Container): void {
  bind(container, LoadPoller, context => {
    const membership = context.get(Membership);
    return new LoadPoller({
      clock: context.get(CLOCK),
      directory: context.get(ServerDirectory),
      host: context.get(SELF).host,
      dataCentre: context.get(SELF).dataCentre,
      listLiveNamesHere: () => membership.listLiveNamesHere(),
      pollMs: context.get(SETTINGS).engines.poll_ms,
    });
  });
  bind(
    container,
    Heartbeats,
    context =>
      new Heartbeats({
        self: context.get(SELF),
        clock: context.get(CLOCK),
        configuration: context.get(ConfigurationStore),
        membership: context.get(Membership),
        leavingHosts: context.get(LeavingHosts),
        bookkeeper: context.get(Bookkeeper),
        directory: context.get(BookDirectory),
        servers: context.get(ServerDirectory),
        poller: context.get(LoadPoller),
        usage: context.get(UsageCounter),
        quarantine: context.get(Quarantine),
        onHigherRevision: host =>
          void container.get(ConfigurationFeed).pull(host),
      }),
  );
  bind(container, Peers, context => createPeers(container, context));
  bind(container, ConfigurationFeed, context => {
    const membership = context.get(Membership);
    return new ConfigurationFeed({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      store: context.get(ConfigurationStore),
      table: context.get(ConfigurationTable),
      requestPeer: (...request) => container.get(Peers).request(...request),
      host: context.get(SELF).host,
      listLiveNamesHere: () => membership.listLiveNamesHere(),
      pollMs: context.get(SETTINGS).configuration.poll_ms,
    });
  });
  bind(
    container,
    PeerRequestHandler,
    context =>
      new PeerRequestHandler({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        configuration: context.get(ConfigurationStore),
        bookkeeper: context.get(Bookkeeper),
        heartbeats: context.get(Heartbeats),
        store: context.get(GenerationStore),
        runner: context.get(GenerationRunner),
        setDrained: on => container.get(Drain).setDraining(on),
      }),
  );
}

function createPeers(container: Container, context: ResolutionContext): Peers {
  const {peers} = context.get(SETTINGS);
  const self = context.get(SELF);
  const membership = context.get(Membership);
  const heartbeats = context.get(Heartbeats);
  return new Peers({
    connection: {
      self,
      key: peers.key,
      maxFrameBytes: peers.max_frame_bytes,
      idleTimeoutMs: 2 * (peers.heartbeat_ms + peers.silence_ms),
      handle: (...request) =>
        container.get(PeerRequestHandler).handle(...request),
      clock: context.get(CLOCK),
      log: context.get(LOG),
    },
    random: context.get(RANDOM),
    heartbeatMs: peers.heartbeat_ms,
    heartbeatTimeoutMs: peers.silence_ms,
    seeds: peers.seeds.filter(seed => seed !== self.address),
    listCandidates: () => membership.listKnown(),
    createHeartbeat: (peer, acknowledged) => ({
      kind: 'heartbeat',
      status: heartbeats.create(peer, acknowledged),
    }),
    receiveReply: (peer, reply) => heartbeats.receiveReply(peer, reply),
  });
}
