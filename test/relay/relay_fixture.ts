import {Result} from 'true-myth';
import {Framing} from '../../src/answer/index.js';
import {ServerBackoffs} from '../../src/backoff/index.js';
import {BrittleServices} from '../../src/brittle/index.js';
import {Catalog, CatalogStore, Route} from '../../src/catalog/index.js';
import {Problem} from '../../src/errors/index.js';
import {Fleet, FleetServer, FleetState} from '../../src/fleet/index.js';
import {ServerLimits} from '../../src/limits/index.js';
import {LogFields, SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {
  TerminatedServers,
  Quarantine,
  SenderRuns,
} from '../../src/quarantine/index.js';
import {Quota} from '../../src/quota/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {
  AnswerSink,
  CopyFailure,
  CopyRunParams,
  Exchange,
  ExchangeKind,
  ExchangeParams,
  ExchangeResult,
  Forward,
  ForwardParams,
  PlaceAdmission,
  Relay,
  RelayRequest,
  ServerStatement,
  RelayOptions,
} from '../../src/relay/index.js';
import {ConnectionOutcome} from '../../src/http/index.js';
import {ServiceReachability} from '../../src/reachability/index.js';
import {RetryBudgetState} from '../../src/retry_budget/index.js';
import {ModelSum, ServerModels} from '../../src/server_model/index.js';
import {SystemClock} from '../../src/time/index.js';
import {VersionCounter} from '../../src/rollout/index.js';
import {
  FoundOrigin,
  OriginSource,
  StreamOrigin,
} from '../../src/stream_versions/index.js';
import {UsageLedger} from '../../src/usage/index.js';
import {createRoute} from './route_fixture.js';

/** Collects an answer as its caller receives it. */
export class CollectedAnswer implements AnswerSink {
  status = 0;
  body = '';
  ended = false;
  aborted = false;
  problem: Problem | undefined;

  begin(status: number): void {
    this.status = status;
  }

  async write(bytes: Uint8Array): Promise<void> {
    this.body += Buffer.from(bytes).toString();
  }

  end(): void {
    this.ended = true;
  }

  disconnect(): void {
    this.aborted = true;
  }

  refuse(problem: Problem): void {
    this.problem = problem;
  }
}

/** Creates an answer whose body consists of the given chunks. */
export function createAnswer(
  status: number,
  pieces: Iterable<string> | AsyncIterable<string>,
  framing: Framing = Framing.CHUNKS,
): ExchangeResult {
  async function* read(): AsyncGenerator<Uint8Array> {
    for await (const piece of pieces) {
      yield Buffer.from(piece);
    }
  }
  return {
    kind: ExchangeKind.ANSWERED,
    status,
    headers: [],
    framing,
    body: read(),
  };
}

/** Loses the request, which may have run. */
export const lose: Exchange = async () => ({
  kind: ExchangeKind.LOST,
  detail: 'connection lost',
});
/** Rejects the request for lack of capacity; it did not run. */
export const refuse: Exchange = async () => ({
  kind: ExchangeKind.NOT_RUN,
  detail: 'status 503',
  full: true,
});
/** Does not respond until the exchange is aborted. */
export const hang: Exchange = (_params, signal) =>
  new Promise(resolve => {
    signal.addEventListener('abort', () =>
      resolve({kind: ExchangeKind.LOST, detail: 'cancelled'}),
    );
  });
/** Answers completely. */
export const answer: Exchange = async () => createAnswer(200, ['whole']);
/** Answers with an error status. */
export const fail: Exchange = async () => createAnswer(500, ['failed']);

/** Lists an answer, a stream, a failure and a rejection, each with a statement. */
export function listStatingExchanges(statement: ServerStatement): Exchange[] {
  return [
    async () => ({...createAnswer(200, ['whole']), statement}),
    async () => ({...createAnswer(200, formatEvents(1, 3)), statement}),
    async () => ({...createAnswer(500, ['failed']), statement}),
    async (...params) => ({...(await refuse(...params)), statement}),
  ];
}

/** Formats events with ids from one number up to another. */
export function formatEvents(from: number, to: number): string[] {
  const events: string[] = [];
  for (let id = from; id <= to; id++) {
    events.push(`id: ${id}\ndata: x\n\n`);
  }
  return events;
}

/** Uses one exchange after the other; repeats the last one. */
export function answerInTurn(...exchanges: Exchange[]): Exchange {
  let turn = 0;
  return (params, signal) => {
    const exchange = exchanges[Math.min(turn++, exchanges.length - 1)];
    return exchange?.(params, signal) ?? lose(params, signal);
  };
}

/** Sends events, then breaks off within the next one. */
export function disconnectAfter(from: number, to: number): Exchange {
  return async () =>
    createAnswer(
      200,
      (function* () {
        yield* formatEvents(from, to);
        yield 'id: 99\nda';
        throw new Error('reset');
      })(),
    );
}

const SERVICE = 'desk';

/** A relay with a few servers whose answers the test provides. */
export class RelayFixture {
  readonly clock = new SystemClock();
  readonly fleet: Fleet;
  readonly models: ServerModels;
  /** Whether the times of servers are learned. */
  learnsTimes = false;
  readonly quarantine: Quarantine;
  readonly metrics = new Metrics();
  /** Warnings that were logged. */
  readonly warnings: LogFields[] = [];
  readonly limits: ServerLimits;
  readonly ledger: UsageLedger;
  readonly brittle: BrittleServices;
  readonly backoffs: ServerBackoffs;
  readonly reachability: ServiceReachability;
  readonly relay: Relay;
  /** Result of trying a connection to a server. */
  connectionOutcome: ConnectionOutcome = ConnectionOutcome.OPENED;
  /** Forwards requests to another host. */
  forward: Forward = async () => createAnswer(200, ['forwarded']);
  readonly forwarded: ForwardParams[] = [];
  readonly sent: ExchangeParams[] = [];
  readonly copies: CopyRunParams[] = [];
  /** Retries that the budget allows in all. */
  budget = 100;
  /** Retries taken from the budget. */
  spentRetries = 0;
  /** Ids of servers that have terminated. */
  readonly terminated = new Set<string>();
  copyResult: Result<string, CopyFailure> = Result.ok('h1');
  /** Returns the version that an attempt may go to; any if `undefined`. */
  selectVersion: (isFirst: boolean) => string | undefined = () => undefined;
  /** Returns whether streams that began at a version may go on there. */
  permitsVersion: (version: string) => boolean = () => true;
  /** Streams whose first event was relayed. */
  readonly begunStreams: (StreamOrigin & {readonly id: string})[] = [];
  /** Returns what is known of the origin of a stream that a caller takes up. */
  findOrigin: (id: string | undefined, service: string) => FoundOrigin = (
    _id,
    service,
  ) => ({source: OriginSource.SOLE, origin: {service, version: ''}});
  /** Called for each requested copy, before its result is returned. */
  onCopy: (params: CopyRunParams) => void = () => undefined;
  /** Resolves when a requested copy has been made. */
  waitForCopy: (params: CopyRunParams) => Promise<void> = async () => undefined;

  constructor(
    exchange: Exchange,
    createPlaceAdmission?: (fixture: RelayFixture) => PlaceAdmission,
  ) {
    const log = Object.assign(new SilentLog(), {
      warn: (event: string, fields: LogFields = {}) =>
        this.warnings.push({event, ...fields}),
    });
    const {clock} = this;
    this.models = new ServerModels({
      clock,
      log,
      metrics: this.metrics,
      isEnabled: () => this.learnsTimes,
      sumPeers: () => new ModelSum().get(),
    });
    this.fleet = new Fleet({
      clock,
      log,
      random: new SeededRandom(1),
      dataCentre: 'here',
      listPeerLoads: () => [],
      models: this.models,
    });
    const catalog = new CatalogStore(log);
    catalog.offer(createCatalog(), 'test');
    const {metrics} = this;
    this.quarantine = new Quarantine({clock, log, metrics});
    this.limits = new ServerLimits({
      clock,
      log,
      metrics,
      getReferenceMs: () => clock.now().getTime(),
      getHostPosition: () => ({hosts: 1, place: 0}),
      isKnownServer: server => this.fleet.get(server) !== undefined,
    });
    this.backoffs = new ServerBackoffs({
      clock,
      log,
      metrics,
      random: new SeededRandom(1),
    });
    this.ledger = new UsageLedger(5000, () => clock.now().getTime());
    this.brittle = new BrittleServices({
      clock,
      log,
      metrics,
      listServers: service => this.fleet.listServers(service),
      countInFlight: server => this.fleet.countInFlight(server),
      getHostPosition: () => ({hosts: 1, place: 0}),
    });
    this.reachability = new ServiceReachability({
      clock,
      log,
      metrics,
      random: new SeededRandom(1),
      listServers: service => this.fleet.listServers(service),
      dataCentre: 'here',
      tryConnection: async () => this.connectionOutcome,
      closeIdle: () => undefined,
    });
    this.relay = new Relay({
      reachability: this.reachability,
      brittle: this.brittle,
      forward: (params, signal) => {
        params.maySend();
        this.forwarded.push(params);
        return this.forward(params, signal).then(result =>
          result.kind === ExchangeKind.ANSWERED
            ? {version: '', ...result}
            : result,
        );
      },
      clock,
      log,
      random: new SeededRandom(1),
      metrics,
      catalog,
      fleet: this.fleet,
      quota: new Quota({
        clock,
        sumPeerDemand: () => 0,
        countReportingHosts: () => 0,
        countHosts: () => 1,
        countReachableHosts: () => 1,
        getBound: () => ({windowMs: 8000, overage: 0, slack: 0}),
      }),
      limits: this.limits,
      backoffs: this.backoffs,
      quarantine: this.quarantine,
      retryBudget: this.createRetryBudget(),
      usageLedger: this.ledger,
      exchange: (params, signal) => {
        this.sent.push(params);
        return exchange(params, signal);
      },
      copyRun: async params => {
        this.copies.push(params);
        this.onCopy(params);
        await this.waitForCopy(params);
        return this.copyResult;
      },
      terminatedServers: new TerminatedServers(clock, async address =>
        this.terminated.has(address.split(':')[0] ?? ''),
      ),
      senderRuns: new SenderRuns(clock),
      versionSelector: {
        permits: (_service, version) => this.permitsVersion(version),
        select: (_service, isFirst) => {
          const selected = this.selectVersion(isFirst);
          return selected === undefined
            ? undefined
            : ({version}) => version === selected;
        },
      },
      streamVersions: {
        begin: (id, origin) => this.begunStreams.push({id, ...origin}),
        find: async (id, service) => this.findOrigin(id, service),
      },
      versionLedger: new VersionCounter(),
      ...(createPlaceAdmission === undefined
        ? {}
        : {placeAdmission: createPlaceAdmission(this)}),
    });
    for (const id of ['s1', 's2', 's3']) {
      this.fleet.register(createServer(id), 'test');
    }
  }

  private createRetryBudget(): RelayOptions['retryBudget'] {
    const getLeft = () => Math.max(0, this.budget - this.spentRetries);
    return {
      addRequest: () => undefined,
      spend: () => {
        const isAllowed = getLeft() >= 1;
        this.spentRetries += isAllowed ? 1 : 0;
        return isAllowed;
      },
      getState: (): RetryBudgetState => ({
        requests: 0,
        retries: this.spentRetries,
        left: getLeft(),
        slack: this.budget,
        hosts: 1,
        ageMs: 0,
      }),
    };
  }

  /** Returns the ids of the servers that the request was sent to, in params. */
  listServers(): string[] {
    return this.sent.map(params => params.server.id);
  }

  /** Serves a request; resolves when it has ended. */
  async serve(
    overrides: Partial<Route>,
    timeoutMs = 2000,
    disconnected: AbortSignal = new AbortController().signal,
    prompt: RelayRequest['prompt'] = {parts: [], tokensIn: 0, tokensOut: 0},
  ): Promise<CollectedAnswer> {
    const sink = new CollectedAnswer();
    const request = {...this.createRequest(overrides, timeoutMs), prompt};
    await this.relay.serve(request, sink, disconnected);
    return sink;
  }

  createRequest(overrides: Partial<Route>, timeoutMs: number): RelayRequest {
    const nowMs = this.clock.monotonicMs();
    return {
      id: 'r1',
      method: 'POST',
      path: '/x/',
      headers: [],
      body: Buffer.alloc(0),
      route: createRoute({
        split: [{service: SERVICE, weight: 1}],
        ...overrides,
      }),
      prompt: {parts: [], tokensIn: 0, tokensOut: 0},
      arrivedMs: nowMs,
      deadlineMs: nowMs + timeoutMs,
    };
  }
}

/** Creates a server of the fixture's service. */
export function createServer(
  id: string,
  state: FleetState = FleetState.READY,
): FleetServer {
  return {
    id,
    name: id,
    startedMs: 0,
    service: SERVICE,
    address: `${id}:1`,
    dataCentre: 'here',
    slots: 8,
    state,
    reclaimable: false,
  };
}

function createCatalog(): Catalog {
  return {
    version: 1,
    routes: [],
    services: new Map(),
    accounts: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}
