/** Puts the parts of the daemon together, by inversify. */
import {Container, ResolutionContext, ServiceIdentifier} from 'inversify';
import {Result} from 'true-myth';
import {UsageCounter} from '../admission/index.js';
import {
  CallerApi,
  CallerContext,
  GenerationAdmission,
  GenerationHandler,
  RequestHandler,
  ServiceHandler,
} from '../caller/index.js';
import {
  ConfigurationStore,
  ConfigurationTable,
} from '../configuration/index.js';
import {
  AnswerLengths,
  checkToken,
  GenerationRunner,
  GenerationStore,
  ReclaimWatch,
  RunningGenerations,
} from '../generation/index.js';
import {
  BookDirectory,
  Bookkeeper,
  isSlotBook,
  KeyMint,
} from '../journal/index.js';
import {LeavingHosts, Membership} from '../membership/index.js';
import {Metrics} from '../metrics/index.js';
import {InForce, OperatorApi, RecordChanges} from '../operator/index.js';
import {PeerFailure, Peers} from '../peer/index.js';
import {chooseServer, RetryBudget, ServerDirectory} from '../routing/index.js';
import {OnceCalls, ServiceDispatcher} from '../service/index.js';
import {ConfigurationFeed} from './configuration_feed.js';
import {createMetrics} from './create_metrics.js';
import {Daemon} from './daemon.js';
import {Drain} from './drain.js';
import {Heartbeats} from './heartbeats.js';
import {
  CLIENTS,
  CLOCK,
  HOST_LIST,
  LOG,
  RANDOM,
  SELF,
  SETTINGS,
  TABLE,
} from './identifiers.js';
import {LoadPoller} from './load_poller.js';
import {PeerRequests} from './peer_requests.js';
import {PlatformWatcher} from './platform_watcher.js';
import {RemoteGenerations} from './remote_generations.js';
import {StatusBuilder} from './status_builder.js';

/** Tokens a second at which a KV cache moves between engines. */
const CACHE_TRANSFER_RATE = 20_000;
/** KV caches that survivors take in at once. */
const IMPORT_SLOTS = 8;
/** Pause between tries of an accepted call, in milliseconds. */
const ACCEPTED_RETRY_MS = 1000;
const JOURNAL_RETRY_MS = 100;
const CHANGE_PATIENCE_MS = 5000;
const MS_PER_SECOND = 1000;

/**
 * Binds every part once. What comes from outside the process (clock, log,
 * randomness, settings, platform, clients of back ends) is bound by the caller.
 */
export function createContainer(): Container {
  const container = new Container({defaultScope: 'Singleton'});
  bindKnowledge(container);
  bindJournal(container);
  bindGenerations(container);
  bindPeers(container);
  bindCallers(container);
  bindOperators(container);
  return container;
}

function bind<T>(
  container: Container,
  key: ServiceIdentifier<T>,
  create: (context: ResolutionContext) => T,
): void {
  container.bind<T>(key).toDynamicValue(create).inSingletonScope();
}

function bindKnowledge(container: Container): void {
  bind(container, Metrics, () => createMetrics());
  bind(
    container,
    ConfigurationStore,
    context => new ConfigurationStore(context.get(LOG)),
  );
  bind(
    container,
    ConfigurationTable,
    context => new ConfigurationTable(context.get(TABLE), context.get(CLOCK)),
  );
  bind(
    container,
    Membership,
    context =>
      new Membership({
        self: context.get(SELF),
        deadAfterMs: context.get(SETTINGS).peers.dead_after_ms,
        clock: context.get(CLOCK),
        log: context.get(LOG),
      }),
  );
  bind(
    container,
    LeavingHosts,
    context => new LeavingHosts(context.get(CLOCK), context.get(LOG)),
  );
  bind(container, ServerDirectory, context => {
    const membership = context.get(Membership);
    const directory = new ServerDirectory(
      context.get(CLIENTS),
      context.get(CLOCK),
      context.get(SELF).dataCentre,
      () => membership.listLiveNames().length,
    );
    context
      .get(ConfigurationStore)
      .addListener(view => directory.setServers(view.servers.values()));
    return directory;
  });
  bind(container, RetryBudget, context => new RetryBudget(context.get(CLOCK)));
  bind(container, UsageCounter, context => {
    const membership = context.get(Membership);
    const {dataCentre} = context.get(SELF);
    return new UsageCounter(() => listPeerUsage(membership, dataCentre));
  });
}

function bindJournal(container: Container): void {
  bind(container, BookDirectory, () => new BookDirectory());
  bind(container, KeyMint, context => {
    const {host, incarnation} = context.get(SELF);
    return new KeyMint(host, incarnation);
  });
  bind(
    container,
    ServiceDispatcher,
    context =>
      new ServiceDispatcher({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        random: context.get(RANDOM),
        configuration: context.get(ConfigurationStore),
        directory: context.get(ServerDirectory),
        budget: context.get(RetryBudget),
        isLeaving: createIsLeaving(context),
        dataCentre: context.get(SELF).dataCentre,
      }),
  );
  bind(container, Bookkeeper, context => createBookkeeper(container, context));
  bind(
    container,
    OnceCalls,
    context =>
      new OnceCalls({
        host: context.get(SELF).host,
        clock: context.get(CLOCK),
        log: context.get(LOG),
        bookkeeper: context.get(Bookkeeper),
        directory: context.get(BookDirectory),
        requestPeer: (host, body, timeoutMs) =>
          container.get(Peers).request(host, body, timeoutMs),
        mintKey: () => context.get(KeyMint).mint(),
      }),
  );
}

function createBookkeeper(
  container: Container,
  context: ResolutionContext,
): Bookkeeper {
  const {journal} = context.get(SETTINGS);
  const self = context.get(SELF);
  const dispatcher = context.get(ServiceDispatcher);
  const directory = context.get(BookDirectory);
  const membership = context.get(Membership);
  const mint = context.get(KeyMint);
  const retentionMs = journal.retention_seconds * MS_PER_SECOND;
  const clock = context.get(CLOCK);
  const log = context.get(LOG);
  return new Bookkeeper({
    host: self.host,
    incarnation: self.incarnation,
    table: context.get(TABLE),
    clock,
    log,
    directory,
    listLiveHosts: () => membership.listLiveNames(),
    isGone: (host, incarnation) => membership.isGone(host, incarnation),
    book: {
      clock,
      log,
      dispatch: order => dispatcher.dispatchOnce(order),
      lookUp: (deployment, key) => dispatcher.lookUp(deployment, key),
      mintKey: () => mint.mint(),
      recordPatienceMs: journal.record_patience_ms,
      acceptedRetryMs: ACCEPTED_RETRY_MS,
      retentionMs,
    },
    recordsFirst: isSlotBook,
    writesPerSecond: journal.writes_per_second,
    leaseMs: journal.lease_ms,
    watchMs: journal.watch_ms,
    lingerMs: journal.linger_ms,
    retryMs: JOURNAL_RETRY_MS,
    retentionMs,
    sendBook: async (host, book) => {
      const body = {kind: 'take-book', book};
      const reply = await container
        .get(Peers)
        .request(host, body, 2 * MS_PER_SECOND);
      return isTaken(reply);
    },
    sendOutcome: async (host, book, entry) => {
      const body = {kind: 'late-outcome', book, entry};
      return isTaken(
        await container.get(Peers).request(host, body, MS_PER_SECOND),
      );
    },
  });
}

function bindGenerations(container: Container): void {
  bind(container, AnswerLengths, () => new AnswerLengths());
  bind(container, RunningGenerations, () => new RunningGenerations());
  bind(container, GenerationStore, context => {
    const {engines} = context.get(SETTINGS);
    return new GenerationStore({
      clock: context.get(CLOCK),
      keepMs: engines.keep_ms,
      unreadMs: engines.unread_ms,
    });
  });
  bind(container, GenerationRunner, context => {
    const {engines} = context.get(SETTINGS);
    const metrics = context.get(Metrics);
    return new GenerationRunner({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      random: context.get(RANDOM),
      configuration: context.get(ConfigurationStore),
      directory: context.get(ServerDirectory),
      budget: context.get(RetryBudget),
      running: context.get(RunningGenerations),
      lengths: context.get(AnswerLengths),
      meter: {
        addToken: (request, gapMs, first) =>
          metrics.record(
            first ? 'first_token_seconds' : 'between_tokens_seconds',
            gapMs,
            {deployment: request.deployment},
          ),
      },
      chooseServer,
      checkToken,
      isLeaving: createIsLeaving(context),
      firstTokenSilenceMs: engines.first_token_silence_ms,
      silenceMs: engines.silence_ms,
    });
  });
  bind(container, ReclaimWatch, context => {
    const leavingHosts = context.get(LeavingHosts);
    return new ReclaimWatch({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      configuration: context.get(ConfigurationStore),
      directory: context.get(ServerDirectory),
      running: context.get(RunningGenerations),
      lengths: context.get(AnswerLengths),
      runner: context.get(GenerationRunner),
      getRemainingMs: server => leavingHosts.getRemainingMs(server),
      transferRate: CACHE_TRANSFER_RATE,
      importSlots: IMPORT_SLOTS,
    });
  });
}

function bindPeers(container: Container): void {
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
    PeerRequests,
    context =>
      new PeerRequests({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        configuration: context.get(ConfigurationStore),
        bookkeeper: context.get(Bookkeeper),
        heartbeats: context.get(Heartbeats),
        store: context.get(GenerationStore),
        runner: context.get(GenerationRunner),
        setDrained: on => container.get(Drain).set(on),
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
      idleLimitMs: 2 * (peers.heartbeat_ms + peers.silence_ms),
      handle: (...request) => container.get(PeerRequests).handle(...request),
      clock: context.get(CLOCK),
      log: context.get(LOG),
    },
    random: context.get(RANDOM),
    heartbeatMs: peers.heartbeat_ms,
    silenceMs: peers.silence_ms,
    seeds: peers.seeds.filter(seed => seed !== self.address),
    listCandidates: () => membership.listKnown(),
    createHeartbeat: (peer, acknowledged) => ({
      kind: 'heartbeat',
      status: heartbeats.create(peer, acknowledged),
    }),
  });
}

function bindCallers(container: Container): void {
  bind(
    container,
    RemoteGenerations,
    context =>
      new RemoteGenerations(
        context.get(SELF).host,
        context.get(Peers),
        context.get(BookDirectory),
        context.get(CLOCK),
      ),
  );
  bind(container, CallerApi, context => {
    const caller = createCallerContext(container, context);
    const calls = context.get(OnceCalls);
    const store = context.get(GenerationStore);
    const directory = context.get(ServerDirectory);
    const remote = context.get(RemoteGenerations);
    return new CallerApi(
      caller,
      new GenerationHandler(caller, {
        runner: context.get(GenerationRunner),
        store,
        usage: context.get(UsageCounter),
        admission: new GenerationAdmission({
          clock: context.get(CLOCK),
          log: context.get(LOG),
          random: context.get(RANDOM),
          runner: context.get(GenerationRunner),
          usage: context.get(UsageCounter),
          getCapacity: () => sumCapacity(directory),
        }),
      }),
      new ServiceHandler(caller, {
        calls,
        dispatcher: context.get(ServiceDispatcher),
        mintKey: () => context.get(KeyMint).mint(),
      }),
      new RequestHandler(caller, {
        store,
        calls,
        readRemote: (...request) => remote.read(...request),
      }),
    );
  });
}

function createCallerContext(
  container: Container,
  context: ResolutionContext,
): CallerContext {
  const {callers} = context.get(SETTINGS);
  return {
    clock: context.get(CLOCK),
    log: context.get(LOG),
    metrics: context.get(Metrics),
    configuration: context.get(ConfigurationStore),
    limits: {
      maxBodyBytes: callers.max_body_bytes,
      serviceTimeoutMs: callers.service_timeout_ms,
      generationTimeoutMs: callers.generation_timeout_ms,
      maxTimeoutMs: callers.max_timeout_ms,
    },
    mintId: () => context.get(KeyMint).mint(),
    isRefusing: () => container.get(Drain).isRefusing(),
  };
}

function bindOperators(container: Container): void {
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
    inForce: new InForce(
      self.dataCentre,
      store,
      context.get(Membership),
      context.get(CLOCK),
    ),
    refresh: () => feed.readTable(),
    patienceMs: CHANGE_PATIENCE_MS,
    inForceMs: settings.configuration.in_force_ms,
  });
  return new OperatorApi({
    keyHashes: settings.operators.key_hashes,
    store,
    changes,
    metrics: context.get(Metrics),
    getStatus: () => context.get(StatusBuilder).build(),
    listUnready: () => {
      const reasons: string[] = [];
      if (store.getRevision() === 0) {
        reasons.push('no configuration has been learnt yet');
      }
      if (container.get(Drain).isDraining()) {
        reasons.push('this host is draining');
      }
      return reasons;
    },
    setDrained: async (host, on) => {
      if (host === self.host) {
        container.get(Drain).set(on);
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
  });
}

function createIsLeaving(
  context: ResolutionContext,
): (server: string) => boolean {
  const leavingHosts = context.get(LeavingHosts);
  const store = context.get(ConfigurationStore);
  return server =>
    leavingHosts.isLeaving(server) ||
    store.getView().servers.get(server)?.drained === true;
}

/** Tells whether a peer has taken what it was sent. */
function isTaken(reply: Result<unknown, PeerFailure>): boolean {
  return reply.isOk && (reply.value as {taken?: boolean}).taken === true;
}

function sumCapacity(directory: ServerDirectory): number {
  let capacity = 0;
  for (const server of directory.listServers()) {
    capacity += directory.getLoad(server.name)?.load.capacity ?? 0;
  }
  return capacity;
}

function listPeerUsage(
  membership: Membership,
  dataCentre: string,
): {customer: string; inFlight: number}[] {
  const usage: {customer: string; inFlight: number}[] = [];
  for (const peer of membership.listLivePeers()) {
    if (peer.dataCentre !== dataCentre) {
      continue;
    }
    for (const [customer, inFlight] of peer.status?.usage ?? []) {
      usage.push({customer, inFlight});
    }
  }
  return usage;
}
