import {Container, ResolutionContext} from 'inversify';
import {bind} from '../container/index.js';
import {Fleet} from '../fleet/index.js';
import {Duty} from '../lease/index.js';
import {Peers} from '../peer/index.js';
import {HostReports, PeerWords} from '../peering/index.js';
import {Quota} from '../quota/index.js';
import {HostUsage, TrueTime, UsageLedger} from '../usage/index.js';
import {createPeerKey} from './create_peer_key.js';
import {HostState} from './host_state.js';
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

/** Pause between heartbeats to peers, in milliseconds. */
const HEARTBEAT_MS = 400;
/** Wait for a heartbeat's reply before a connection counts as silent. */
const SILENCE_MS = 1200;
const MAX_FRAME_BYTES = 4_194_304;
/** Names under which peers ask for news of replicas. */
const REPLICA = {CATALOG: 'catalog', SERVERS: 'servers'} as const;

/** Binds the links to other hosts and what is said on them. */
export function bindPeering(container: Container): void {
  bind(container, PeerWords, context => {
    const state = context.get(HostState);
    return new PeerWords({
      self: context.get(SELF),
      incarnation: context.get(INCARNATION),
      clock: context.get(CLOCK),
      log: context.get(LOG),
      reports: context.get(HostReports),
      fleet: context.get(Fleet),
      quota: context.get(Quota),
      ledger: context.get(UsageLedger),
      hostUsage: context.get(HostUsage),
      trueTime: context.get(TrueTime),
      replicas: new Map([
        [REPLICA.CATALOG, context.get(CATALOG_ROWS)],
        [REPLICA.SERVERS, context.get(SERVER_ROWS)],
      ]),
      isStopping: () => state.isStopping(),
      holdsDuties: () => container.get(Duty).isHeld(),
      requestPeer: (...request) => container.get(Peers).request(...request),
    });
  });
  bind(container, Peers, context => createPeers(container, context));
}

function createPeers(container: Container, context: ResolutionContext): Peers {
  const self = context.get(SELF);
  const reports = context.get(HostReports);
  const {host, dataCentre} = self;
  const {seeds} = context.get(GET_SETTINGS)();
  return new Peers({
    connection: {
      self: {host, dataCentre, incarnation: context.get(INCARNATION)},
      key: createPeerKey(),
      maxFrameBytes: MAX_FRAME_BYTES,
      idleLimitMs: 2 * (HEARTBEAT_MS + SILENCE_MS),
      handle: (request, from) => container.get(PeerWords).handle(request, from),
      clock: context.get(CLOCK),
      log: context.get(LOG),
    },
    random: context.get(RANDOM),
    heartbeatMs: HEARTBEAT_MS,
    silenceMs: SILENCE_MS,
    seeds: seeds.filter(seed => seed !== self.address),
    listCandidates: () => reports.listAddresses(),
    createHeartbeat: (_peer, acknowledged) =>
      container.get(PeerWords).createHeartbeat(acknowledged),
  });
}
