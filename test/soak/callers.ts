import {Agent, request as openRequest} from 'node:http';
import {callRaw, HttpVersion} from '../platform/fakes/raw_caller.js';
import {Random} from '../../src/random/index.js';
import {History, RequestKind, ResumedStream, SentRequest} from './history.js';
import {PairCaller} from './pair_caller.js';
import {findStreamRoute, listEvents} from './stream_events.js';
import {CRASHING_PART} from './soak_server.js';
import {SoakHost} from './soak_host.js';
import {
  CUSTOMER,
  HOST_NAME,
  KEY,
  LOW_RATE_CUSTOMER,
  LOW_RATE_KEY,
  ROUTE_TIMEOUT_MS,
  SoakSystem,
  wait,
} from './soak_system.js';

/** Behaviour of the callers; each flag may be switched during a run. */
export interface CallerFaults {
  /** Whether one caller sends far more requests than the rate of its customer allows. */
  exceedRate: boolean;
  /** Whether callers abandon some of their requests before the answer arrives. */
  abandonRequests: boolean;
  /** Whether one caller sends the request that crashes servers. */
  crashServers: boolean;
  /** Whether one caller sends requests with the part of a prompt that crashes servers. */
  crashByPart: boolean;
}

const OK = 200;
/** Time for which a caller waits beyond the timeout of a route, in milliseconds. */
const DEADLINE_SLACK_MS = 500;
const PAUSE_MS = 60;
const OVER_RATE_PAUSE_MS = 8;
/** Shortest pause after a request that was not served, in milliseconds. */
const FAILURE_PAUSE_MS = 20;
const CRASHING_PAUSE_MS = 150;
const ABANDON_AFTER_MS = 25;
const ABANDON_SHARE = 0.3;
/** Parts of prompts that sound requests have, and the crashing ones but for one. */
const SHARED_PARTS = ['c1', 'c2', 'c3'];
/** Times that a caller takes up a stream that was broken off. */
const MAX_RESUMPTIONS = 3;
const MS_PER_SECOND = 1000;
/** Time after which a caller leaves one of this many streams, and takes it up again. */
const LEFT_STREAM_INTERVAL = 4;
const LEAVE_STREAM_AFTER_MS = 90;
/** Of this many requests, one uses HTTP/1.0, on a connection of its own. */
const HTTP_1_0_INTERVAL = 6;
/** Callers of long streams; the events of all streams pass through the process of the soak. */
const MAX_LONG_STREAM_CALLERS = 24;
/** Of this many long streams, one may not be resumed. */
const LONG_STREAM_ONCE_INTERVAL = 3;
/** Callers that use their connection again at once, and as many that send pairs. */
const EAGER_CALLERS = 3;
/** Share of requests that probe a route which a configuration change added. */
const PROBE_SHARE = 0.15;

/** A request that a caller is about to send. */
interface OutgoingRequest {
  readonly kind: RequestKind;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  readonly customer: string;
  readonly abandonAfterMs: number | undefined;
  readonly deadlineMs: number;
  readonly version: HttpVersion;
  readonly resumed?: ResumedStream;
  /** Shared parts of its prompt. */
  readonly parts?: readonly string[];
}

/** Dependencies of a caller. */
interface CallerOptions {
  /** Returns the hosts to which a new connection may be opened. */
  readonly listHosts: () => readonly SoakHost[];
  readonly getNowMs: () => number;
  readonly history: History;
  readonly random: Random;
}

/** A caller. It keeps one connection to one host for as long as the host keeps it open. */
class Caller {
  private host: SoakHost | undefined;
  private agent = new Agent({keepAlive: true, maxSockets: 1});

  constructor(private readonly options: CallerOptions) {}

  /** Sends one request; resolves once the exchange has ended. */
  async send(outgoing: OutgoingRequest, id: string): Promise<SentRequest> {
    const {history, getNowMs} = this.options;
    const host = this.chooseHost();
    const sent = createRecord(host, outgoing, id, getNowMs());
    history.sendings.push(sent);
    const canReuse =
      outgoing.version === HttpVersion.HTTP_1_0
        ? await this.exchangeOnce(host, outgoing, sent)
        : await this.exchange(host, outgoing, sent);
    sent.endMs = getNowMs();
    if (!canReuse) {
      this.disconnect();
    }
    return sent;
  }

  /** Closes the connection; the next request chooses a host again. */
  disconnect(): void {
    this.host = undefined;
    this.agent.destroy();
    this.agent = new Agent({keepAlive: true, maxSockets: 1});
  }

  private chooseHost(): SoakHost {
    const {listHosts, random} = this.options;
    const candidates = listHosts();
    this.host ??= candidates[Math.floor(random.next() * candidates.length)];
    if (this.host === undefined) {
      throw new Error('cannot send the request: no host is available');
    }
    return this.host;
  }

  /** Sends a request on a connection of its own; keeps the connection of the other ones. */
  private async exchangeOnce(
    host: SoakHost,
    outgoing: OutgoingRequest,
    sent: SentRequest,
  ): Promise<boolean> {
    const {path, version, body, deadlineMs} = outgoing;
    const {abandonAfterMs = deadlineMs} = outgoing;
    const signal = AbortSignal.timeout(Math.min(abandonAfterMs, deadlineMs));
    const answer = await callRaw(host.callers, {
      path,
      version,
      method: 'POST',
      body,
      headers: createHeaders(outgoing, sent.id),
      signal,
    });
    const {status, headers, isWhole} = answer;
    const retryAfter = headers.get('retry-after');
    sent.hasLeft = signal.aborted && abandonAfterMs < deadlineMs;
    sent.status = status;
    sent.answer = answer.body;
    sent.whole = isWhole;
    sent.signed = headers.has('server-signature');
    sent.retryAfter = retryAfter === undefined ? undefined : Number(retryAfter);
    sent.endsWithConnection = !headers.has('content-length');
    return status !== 0;
  }

  /** Sends a request and records its answer; returns whether the connection can be reused. */
  private exchange(
    host: SoakHost,
    outgoing: OutgoingRequest,
    sent: SentRequest,
  ): Promise<boolean> {
    const [address, port] = host.callers.split(':');
    return new Promise(resolve => {
      const request = openRequest({
        host: address,
        port,
        agent: this.agent,
        method: 'POST',
        path: outgoing.path,
        headers: createHeaders(outgoing, sent.id),
      });
      const deadlineTimer = setTimeout(
        () => request.destroy(),
        outgoing.deadlineMs,
      );
      const abandonTimer =
        outgoing.abandonAfterMs === undefined
          ? undefined
          : setTimeout(() => {
              sent.hasLeft = true;
              request.destroy();
            }, outgoing.abandonAfterMs);
      const settle = (canReuse: boolean) => {
        clearTimeout(deadlineTimer);
        clearTimeout(abandonTimer);
        resolve(canReuse);
      };
      request.on('error', () => settle(false));
      request.on('response', response => {
        sent.status = response.statusCode ?? 0;
        sent.signed = response.headers['server-signature'] !== undefined;
        const retryAfterHeader = response.headers['retry-after'];
        sent.retryAfter =
          retryAfterHeader === undefined ? undefined : Number(retryAfterHeader);
        response.on('data', chunk => (sent.answer += String(chunk)));
        response.on('error', () => undefined);
        response.on('close', () => {
          sent.whole = response.complete;
          settle(response.complete && response.headers.connection !== 'close');
        });
      });
      request.end(outgoing.body);
    });
  }
}

/** Creates the record of a request that is sent now and has no answer yet. */
function createRecord(
  host: SoakHost,
  outgoing: OutgoingRequest,
  id: string,
  sentMs: number,
): SentRequest {
  return {
    id,
    kind: outgoing.kind,
    path: outgoing.path,
    body: outgoing.body,
    customer: outgoing.customer,
    host: host.options.name,
    start: host.incarnation,
    sentMs,
    limitMs: Math.min(
      outgoing.deadlineMs,
      findStreamRoute(outgoing.path)?.timeoutMs ?? ROUTE_TIMEOUT_MS,
    ),
    hasLeft: false,
    hasCrashingPart: outgoing.parts?.includes(CRASHING_PART) ?? false,
    endMs: 0,
    status: 0,
    answer: '',
    whole: false,
    endsWithConnection: false,
    signed: false,
    retryAfter: undefined,
    ...(outgoing.resumed === undefined ? {} : {resumed: outgoing.resumed}),
  };
}

/** Creates the headers of a request. */
function createHeaders(
  {key, body, resumed, parts, deadlineMs}: OutgoingRequest,
  id: string,
): Readonly<Record<string, string>> {
  return {
    ...(resumed === undefined
      ? {}
      : {Resumes: resumed.id, 'Last-Event-Id': String(resumed.eventCount)}),
    ...(parts === undefined
      ? {}
      : {
          Model: 'm',
          'Token-Count': '10,1',
          'Prompt-Prefix': [...parts, id].map(part => `${part}:5`).join(','),
        }),
    Host: HOST_NAME,
    'Request-Id': id,
    Credential: key,
    'Deadline-Remaining': String(deadlineMs),
    'Content-Length': String(body.length),
  };
}

/** All callers of a run. */
export class Callers {
  readonly faults: CallerFaults = {
    exceedRate: false,
    abandonRequests: false,
    crashServers: false,
    crashByPart: false,
  };
  private stopped = false;
  private sent = 0;
  private readonly running: Promise<void>[] = [];

  constructor(
    private readonly system: SoakSystem,
    private readonly history: History,
    private readonly random: Random,
  ) {}

  /**
   * Starts a number of callers, further ones of long streams, and three more that send only
   * while their flag is set: one exceeds the rate of its customer, the others send requests
   * that crash servers.
   */
  start(count: number): void {
    for (let index = 0; index < count; index++) {
      this.running.push(
        this.sendRepeatedly(() => this.drawRequest(), PAUSE_MS),
      );
    }
    for (let index = 0; index < EAGER_CALLERS; index++) {
      this.running.push(
        this.sendRepeatedly(() => this.createBooking(), 0),
        this.sendPairs(),
      );
    }
    const longStreamCallers = Math.min(count, MAX_LONG_STREAM_CALLERS);
    for (let index = 0; index < longStreamCallers; index++) {
      this.running.push(
        this.sendRepeatedly(() => this.createLongStreamRequest(), PAUSE_MS),
      );
    }
    this.running.push(
      this.sendRepeatedly(
        () =>
          this.faults.exceedRate ? this.createOverRateRequest() : undefined,
        OVER_RATE_PAUSE_MS,
      ),
      this.sendRepeatedly(
        () =>
          this.faults.crashServers ? this.createCrashingRequest() : undefined,
        CRASHING_PAUSE_MS,
      ),
      this.sendRepeatedly(
        () =>
          this.faults.crashByPart ? this.createCrashingPrompt() : undefined,
        CRASHING_PAUSE_MS,
      ),
    );
  }

  /** Stops sending; resolves once every request has ended. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.running);
  }

  /** Sends requests to every host, over one connection each, and counts those served. */
  async probeHosts(countPerHost: number): Promise<void> {
    const {recovery} = this.history;
    for (const host of this.system.hosts) {
      const caller = this.createCaller(() => [host]);
      for (let probe = 0; probe < countPerHost; probe++) {
        const outgoing = this.createRequest(RequestKind.REPEATABLE, '/i/x');
        const {status} = await caller.send(outgoing, this.createId());
        recovery.asked++;
        recovery.served += status === OK ? 1 : 0;
      }
      caller.disconnect();
    }
  }

  private createCaller(listHosts: () => readonly SoakHost[]): Caller {
    const {system, history, random} = this;
    const getNowMs = () => system.getNowMs();
    return new Caller({listHosts, getNowMs, history, random});
  }

  private async sendRepeatedly(
    draw: () => OutgoingRequest | undefined,
    pauseMs: number,
  ): Promise<void> {
    const caller = this.createCaller(() => this.system.listInRotation());
    while (!this.stopped) {
      const outgoing = draw();
      let isServed = false;
      if (outgoing !== undefined) {
        const sent = await caller.send(outgoing, this.createId());
        await this.takeUp(caller, outgoing, sent);
        isServed = sent.status === OK;
      }
      const restMs = isServed ? pauseMs : pauseMs || FAILURE_PAUSE_MS;
      if (restMs > 0) {
        await wait(restMs * (0.5 + this.random.next()));
      }
    }
    caller.disconnect();
  }

  /** Sends pairs of bookings, each as soon as the last one is answered. */
  private sendPairs(): Promise<void> {
    const {history, random, system} = this;
    const booking = this.createBooking();
    const {
      'Content-Length': _,
      'Request-Id': _id,
      ...headers
    } = createHeaders(booking, '');
    let host: SoakHost;
    const caller = new PairCaller({
      chooseAddress: () => {
        const hosts = system.listInRotation();
        host = hosts[Math.floor(random.next() * hosts.length)] as SoakHost;
        return host.callers;
      },
      headers,
      path: booking.path,
      record: body => {
        const outgoing = {...booking, body};
        const id = this.createId();
        const sent = createRecord(host, outgoing, id, system.getNowMs());
        history.sendings.push(sent);
        return sent;
      },
      getNowMs: () => system.getNowMs(),
      isStopped: () => this.stopped,
    });
    return caller.run();
  }

  private createBooking(): OutgoingRequest {
    return {
      ...this.createRequest(RequestKind.ONCE, '/o/x'),
      abandonAfterMs: undefined,
      version: HttpVersion.HTTP_1_1,
    };
  }

  /** Takes a stream that has begun and is not complete up at other hosts, if any. */
  private async takeUp(
    caller: Caller,
    outgoing: OutgoingRequest,
    first: SentRequest,
  ): Promise<void> {
    let resumed: ResumedStream = {id: first.id, eventCount: 0};
    let sent = first;
    for (let tries = 0; tries < MAX_RESUMPTIONS; tries++) {
      resumed = {
        ...resumed,
        eventCount: resumed.eventCount + listEvents(sent).length,
      };
      const mayTakeUp =
        outgoing.kind === RequestKind.STREAM && resumed.eventCount > 0;
      if (!mayTakeUp || sent.whole || this.stopped) {
        return;
      }
      await wait((sent.retryAfter ?? 0) * MS_PER_SECOND);
      caller.disconnect();
      const next = {...outgoing, abandonAfterMs: undefined, resumed};
      sent = await caller.send(next, this.createId());
    }
  }

  private createId(): string {
    return `r${++this.sent}`;
  }

  private drawRequest(): OutgoingRequest {
    const sample = this.random.next();
    if (sample < PROBE_SHARE) {
      const routes = this.system.listExtraRoutes();
      const route = routes[Math.floor(this.random.next() * routes.length)];
      return this.createRequest(RequestKind.REPEATABLE, route ?? '/i/');
    }
    if (sample < 0.45) {
      return this.createRequest(RequestKind.ONCE, '/o/x');
    }
    return sample < 0.75
      ? {
          ...this.createRequest(RequestKind.REPEATABLE, '/i/x'),
          parts: SHARED_PARTS,
        }
      : this.createStreamRequest();
  }

  private createStreamRequest(): OutgoingRequest {
    const request = this.createRequest(RequestKind.STREAM, '/s/x');
    const isLeft = this.sent % LEFT_STREAM_INTERVAL === 0;
    return isLeft
      ? {...request, abandonAfterMs: LEAVE_STREAM_AFTER_MS}
      : request;
  }

  /** Creates a stream that lasts long; one of so many may not be resumed. */
  private createLongStreamRequest(): OutgoingRequest {
    const isOnce = this.sent % LONG_STREAM_ONCE_INTERVAL === 0;
    return isOnce
      ? this.createRequest(RequestKind.STREAM_ONCE, '/n/x')
      : this.createRequest(RequestKind.STREAM, '/l/x');
  }

  private createRequest(kind: RequestKind, path: string): OutgoingRequest {
    const isAbandoned =
      this.faults.abandonRequests && this.random.next() < ABANDON_SHARE;
    return {
      kind,
      path,
      body: `body ${this.sent}`,
      key: KEY,
      customer: CUSTOMER,
      abandonAfterMs: isAbandoned ? ABANDON_AFTER_MS : undefined,
      deadlineMs:
        (findStreamRoute(path)?.timeoutMs ?? ROUTE_TIMEOUT_MS) +
        DEADLINE_SLACK_MS,
      version:
        this.sent % HTTP_1_0_INTERVAL === 0
          ? HttpVersion.HTTP_1_0
          : HttpVersion.HTTP_1_1,
    };
  }

  private createOverRateRequest(): OutgoingRequest {
    return {
      ...this.createRequest(RequestKind.REPEATABLE, '/i/press'),
      key: LOW_RATE_KEY,
      customer: LOW_RATE_CUSTOMER,
    };
  }

  /** Creates a request with the part of a prompt that crashes servers; no two are alike. */
  private createCrashingPrompt(): OutgoingRequest {
    const parts = [...SHARED_PARTS];
    parts.splice(this.sent % parts.length, 1, CRASHING_PART);
    return {
      ...this.createRequest(RequestKind.REPEATABLE, '/i/x'),
      parts,
      abandonAfterMs: undefined,
    };
  }

  private createCrashingRequest(): OutgoingRequest {
    return {
      ...this.createRequest(RequestKind.REPEATABLE, '/i/end'),
      body: this.history.endingBody,
      abandonAfterMs: undefined,
    };
  }
}
