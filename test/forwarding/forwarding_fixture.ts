import {problems} from '../../src/errors/index.js';
import {
  ForwardClient,
  ForwardListener,
  ForwardListenerOptions,
  ForwardTargets,
} from '../../src/forwarding/index.js';
import {BodyMemory, splitMemory} from '../../src/http/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {
  AnswerSink,
  ExchangeResult,
  ForwardedAttempts,
  ForwardParams,
  RelayRequest,
} from '../../src/relay/index.js';
import {SystemClock} from '../../src/time/index.js';
import {findFreePorts} from '../../src/trial/index.js';
import {createRoute} from '../relay/route_fixture.js';

/** Serves a forwarded request in a test. */
export type Serve = (
  request: RelayRequest,
  service: string,
  sink: AnswerSink,
  cancelled: AbortSignal,
  attempts: ForwardedAttempts,
) => Promise<void>;

/** A host that forwards requests, and hosts that take them. */
export class ForwardingFixture {
  readonly client: ForwardClient;
  readonly targets: ForwardTargets;
  private readonly listeners: ForwardListener[] = [];
  private readonly addresses: string[] = [];

  constructor(key = 'key') {
    const clock = new SystemClock();
    const random = new SeededRandom(1);
    this.targets = new ForwardTargets({
      clock,
      random,
      dataCentre: 'here',
      listAlive: () =>
        this.addresses.map((address, index) => ({
          host: `host-${index}`,
          dataCentre: 'here',
          address: 'unused:1',
          forwardingAddress: address,
        })),
    });
    this.client = new ForwardClient({
      clock,
      log: new SilentLog(),
      metrics: new Metrics(),
      self: 'front-1',
      key,
      targets: this.targets,
    });
  }

  /** Starts a host that takes requests. */
  async addHost(
    serve: Serve,
    overrides: Partial<ForwardListenerOptions> = {},
  ): Promise<ForwardListener> {
    const listener = new ForwardListener({
      clock: new SystemClock(),
      log: new SilentLog(),
      metrics: new Metrics(),
      key: 'key',
      relay: {serveForwarded: serve},
      isInitialized: () => true,
      isOverloaded: () => false,
      bodyMemory: new BodyMemory(new SystemClock(), splitMemory(160_000_000)),
      getMaxBodyBytes: () => 4_194_304,
      ...overrides,
    });
    const [port = 0] = await findFreePorts(1);
    await listener.listen('127.0.0.1', port);
    this.listeners.push(listener);
    this.addresses.push(`127.0.0.1:${port}`);
    return listener;
  }

  /** Returns the address of a host by its index. */
  getAddress(index: number): string {
    return this.addresses[index] ?? '';
  }

  /** Adds a host whose process is gone. */
  async addTerminatedHost(): Promise<void> {
    const [port = 0] = await findFreePorts(1);
    this.addresses.push(`127.0.0.1:${port}`);
  }

  send(
    overrides: Partial<ForwardParams> = {},
    signal = new AbortController().signal,
  ): Promise<ExchangeResult> {
    return this.client.send(createForwardParams(overrides), signal);
  }

  stop(): void {
    for (const listener of this.listeners) {
      listener.stop();
    }
  }
}

/** Answers with a body in two chunks. */
export const serveAnswer: Serve = async (
  request,
  _service,
  sink,
  _cancelled,
  attempts,
) => {
  attempts.onServer({id: 'i-1', version: 'v1'});
  sink.begin(200, [
    ['Request-Id', request.id],
    ['Server-Signature', 'sig'],
    ['Content-Length', '10'],
  ]);
  await sink.write(Buffer.from('first'));
  await sink.write(Buffer.from('other'));
  sink.end();
};

/** Reports that the servers cannot be reached. */
export const serveUnreachable: Serve = async (_request, service, sink) => {
  sink.refuse(problems.serversUnreachable(service, 1));
};

export function createForwardParams(
  overrides: Partial<ForwardParams> = {},
): ForwardParams {
  return {
    request: {
      id: 'r1',
      method: 'POST',
      path: '/a/x?y=z',
      headers: [['Request-Id', 'r1']],
      body: Buffer.from('body'),
      route: createRoute(),
      account: {
        name: 'guild',
        keys: ['secret'],
        urgency: 1,
        rate: {perSecond: 5, burst: 1, inTokens: true, plainTokens: 7},
      },
      prompt: {parts: [{id: 'p', tokens: 3}], tokensIn: 3, tokensOut: 4},
      arrivedMs: 0,
      deadlineMs: 1000,
    },
    service: 'ledger',
    excluded: new Set(['i-7']),
    refusal: problems.serversUnreachable('ledger', 0.5),
    remainingMs: 900,
    maySend: () => true,
    ...overrides,
  };
}

/** Reads the body of an answer to its end. */
export async function readBody(result: ExchangeResult): Promise<string> {
  if (result.kind !== 'answered') {
    throw new Error(`no answer: ${result.kind}`);
  }
  let body = '';
  for await (const bytes of result.body) {
    body += Buffer.from(bytes).toString();
  }
  return body;
}
