/** Bindings of the operators' interface, the drain and the daemon. */
import {totalmem} from 'node:os';
import {Container, ResolutionContext} from 'inversify';
import {CallerApi} from '../../caller/index.js';
import {
  ConfigurationStore,
  ConfigurationTable,
} from '../../configuration/index.js';
import {GenerationStore, ReclaimWatch} from '../../generation/index.js';
import {BodyMemory, exportBodyMemory, splitMemory} from '../../http/index.js';
import {Bookkeeper} from '../../journal/index.js';
import {LeavingHosts, Membership} from '../../membership/index.js';
import {Metrics} from '../../metrics/index.js';
import {
  InForceMonitor,
  OperatorApi,
  RecordChanges,
} from '../../operator/index.js';
import {Peers} from '../../peer/index.js';
import {Placer} from '../../placement/index.js';
import {Quarantine, QuarantineRows} from '../../quarantine/index.js';
import {ServerDirectory} from '../../routing/index.js';
import {ConfigurationFeed} from '../configuration_feed.js';
import {Daemon} from '../daemon.js';
import {Drain} from '../drain.js';
import {CLOCK, HOST_LIST, LOG, SELF, SETTINGS} from '../identifiers.js';
import {LoadPoller} from '../load_poller.js';
import {PlatformWatcher} from '../platform_watcher.js';
import {StatusBuilder} from '../status_builder.js';
import {bind} from '../../container/index.js';

/** Longest time to retry the write of a configuration change, in milliseconds. */
const CHANGE_TIMEOUT_MS = 5000;
const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1_000_000;

/** Binds the operators' interface, the drain and the daemon. */
export function bindOperators(container: Container): void {
  bind(
    container,
    PlatformWatcher,
    context =>
      new PlatformWatcher({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        hostList: context.get(HOST_LIST),
        membership: context.get(Membership),
        leavingHosts: context.get(LeavingHosts),
        host: context.get(SELF).host,
        onOwnNotice: remainingMs =>
          container.get(Daemon).leaveOnNotice(remainingMs),
        pollMs: context.get(SETTINGS).platform.poll_ms,
      }),
  );
  bind(
    container,
    StatusBuilder,
    context =>
      new StatusBuilder({
        self: context.get(SELF),
        clock: context.get(CLOCK),
        configuration: context.get(ConfigurationStore),
        membership: context.get(Membership),
        leavingHosts: context.get(LeavingHosts),
        bookkeeper: context.get(Bookkeeper),
        servers: context.get(ServerDirectory),
        platform: context.get(PlatformWatcher),
      }),
  );
  bind(
    container,
    Drain,
    context =>
      new Drain({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        membership: context.get(Membership),
        bookkeeper: context.get(Bookkeeper),
        store: context.get(GenerationStore),
        peers: context.get(Peers),
        dataCentre: context.get(SELF).dataCentre,
        countInFlight: () => container.get(Daemon).countInFlight(),
        noticeMs: context.get(SETTINGS).drain.notice_ms,
      }),
  );
  bind(container, BodyMemory, context => {
    const {memory_mb: memoryMb} = context.get(SETTINGS).host;
    const bytes = memoryMb === 0 ? totalmem() : memoryMb * BYTES_PER_MB;
    const memory = new BodyMemory(context.get(CLOCK), splitMemory(bytes));
    exportBodyMemory(context.get(Metrics), memory);
    return memory;
  });
  bind(container, OperatorApi, context =>
    createOperatorApi(container, context),
  );
  bind(container, Daemon, context => createDaemon(context));
}

function createOperatorApi(
  container: Container,
  context: ResolutionContext,
): OperatorApi {
  const settings = context.get(SETTINGS);
  const self = context.get(SELF);
  const store = context.get(ConfigurationStore);
  const feed = context.get(ConfigurationFeed);
  const peers = context.get(Peers);
  const changes = new RecordChanges({
    log: context.get(LOG),
    store,
    table: context.get(ConfigurationTable),
    inForce: new InForceMonitor(
      self.dataCentre,
      store,
      context.get(Membership),
      context.get(CLOCK),
    ),
    refresh: () => feed.readTable(),
    tableTimeoutMs: CHANGE_TIMEOUT_MS,
    inForceMs: settings.configuration.in_force_ms,
  });
  return new OperatorApi({
    clock: context.get(CLOCK),
    bodyMemory: context.get(BodyMemory),
    keyHashes: settings.operators.key_hashes,
    store,
    changes,
    metrics: context.get(Metrics),
    getStatus: () => context.get(StatusBuilder).build(),
    listUnreadyReasons: () => {
      const reasons: string[] = [];
      if (store.getRevision() === 0) {
        reasons.push('no configuration has been received yet');
      }
      if (container.get(Drain).isDraining()) {
        reasons.push('this host is draining');
      }
      return reasons;
    },
    setDrained: async (host, on) => {
      if (host === self.host) {
        container.get(Drain).setDraining(on);
        return true;
      }
      const body = {kind: 'drain', on};
      const reply = await peers.request(host, body, 2 * MS_PER_SECOND);
      return reply.isOk;
    },
  });
}

function createDaemon(context: ResolutionContext): Daemon {
  return new Daemon({
    settings: context.get(SETTINGS),
    self: context.get(SELF),
    log: context.get(LOG),
    clock: context.get(CLOCK),
    metrics: context.get(Metrics),
    configuration: context.get(ConfigurationStore),
    callerApi: context.get(CallerApi),
    operatorApi: context.get(OperatorApi),
    peers: context.get(Peers),
    bookkeeper: context.get(Bookkeeper),
    store: context.get(GenerationStore),
    drain: context.get(Drain),
    feed: context.get(ConfigurationFeed),
    poller: context.get(LoadPoller),
    platform: context.get(PlatformWatcher),
    reclaimWatch: context.get(ReclaimWatch),
    placer: context.get(Placer),
    quarantine: context.get(Quarantine),
    quarantineRows: context.get(QuarantineRows),
  });
}
