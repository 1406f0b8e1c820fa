import {Agent, request as openRequest} from 'node:http';
import {Random} from '../../src/random/index.js';
import {History, RequestKind, Sending} from './history.js';
import {SoakHost} from './soak_host.js';
import {
  CUSTOMER,
  HOST_NAME,
  KEY,
  PRESSING_CUSTOMER,
  PRESSING_KEY,
  SoakSystem,
  wait,
} from './soak_system.js';

/** How callers behave now; each may be switched while they run. */
export interface CallerFaults {
  /** Whether those of one customer send far more than it may. */
  press: boolean;
  /** Whether some leave before they have their answer. */
  leave: boolean;
  /** Whether one sends the request that ends servers. */
  endServers: boolean;
}

const OK = 200;
const DEADLINE_MS = 2500;
const PAUSE_MS = 60;
const PRESS_PAUSE_MS = 8;
const ENDING_PAUSE_MS = 150;
const LEAVE_MS = 25;
const LEAVE_SHARE = 0.3;
/** Share of a caller's requests that look for a route that a change added. */
const PROBE_SHARE = 0.15;

/** What one caller sends. */
interface Wanted {
  readonly kind: RequestKind;
  readonly path: string;
  readonly body: string;
  readonly key: string;
  readonly customer: string;
  readonly leaveMs: number | undefined;
}

/** What a caller works with. */
interface CallerOptions {
  /** Returns the hosts that a new channel may go to. */
  readonly listHosts: () => readonly SoakHost[];
  readonly getNowMs: () => number;
  readonly history: History;
  readonly random: Random;
}

/** One caller: it keeps its channel for as long as the host does. */
class Caller {
  private host: SoakHost | undefined;
  private agent = new Agent({keepAlive: true, maxSockets: 1});

  constructor(private readonly options: CallerOptions) {}

  /** Sends one request to its end. */
  async send(wanted: Wanted, id: string): Promise<Sending> {
    const {history, getNowMs} = this.options;
    const host = this.chooseHost();
    const sending: Sending = {
      id,
      kind: wanted.kind,
      path: wanted.path,
      body: wanted.body,
      customer: wanted.customer,
      host: host.options.name,
      start: host.starts,
      sentMs: getNowMs(),
      endMs: 0,
      status: 0,
      answer: '',
      whole: false,
      signed: false,
      retryAfter: undefined,
    };
    history.sendings.push(sending);
    const keeps = await this.exchange(host, wanted, sending);
    sending.endMs = getNowMs();
    if (!keeps) {
      this.leaveHost();
    }
    return sending;
  }

  /** Lets go of its channel. */
  leaveHost(): void {
    this.host = undefined;
    this.agent.destroy();
    this.agent = new Agent({keepAlive: true, maxSockets: 1});
  }

  private chooseHost(): SoakHost {
    const {listHosts, random} = this.options;
    const usable = listHosts();
    this.host ??= usable[Math.floor(random.next() * usable.length)];
    if (this.host === undefined) {
      throw new Error('there is no host to send to');
    }
    return this.host;
  }

  /** Exchanges a request; returns whether the channel may be kept. */
  private exchange(
    host: SoakHost,
    wanted: Wanted,
    sending: Sending,
  ): Promise<boolean> {
    const [address, port] = host.callers.split(':');
    return new Promise(resolve => {
      const request = openRequest({
        host: address,
        port,
        agent: this.agent,
        method: 'POST',
        path: wanted.path,
        headers: {
          Host: HOST_NAME,
          'Request-Id': sending.id,
          Credential: wanted.key,
          'Deadline-Remaining': String(DEADLINE_MS),
          'Content-Length': String(wanted.body.length),
        },
      });
      const timer = setTimeout(() => request.destroy(), DEADLINE_MS);
      const leaving =
        wanted.leaveMs === undefined
          ? undefined
          : setTimeout(() => request.destroy(), wanted.leaveMs);
      const settle = (keeps: boolean) => {
        clearTimeout(timer);
        clearTimeout(leaving);
        resolve(keeps);
      };
      request.on('error', () => settle(false));
      request.on('response', response => {
        sending.status = response.statusCode ?? 0;
        sending.signed = response.headers['server-signature'] !== undefined;
        const after = response.headers['retry-after'];
        sending.retryAfter = after === undefined ? undefined : Number(after);
        response.on('data', piece => (sending.answer += String(piece)));
        response.on('error', () => undefined);
        response.on('close', () => {
          sending.whole = response.complete;
          settle(response.complete && response.headers.connection !== 'close');
        });
      });
      request.end(wanted.body);
    });
  }
}

/** Everybody who sends requests in a run. */
export class Callers {
  readonly faults: CallerFaults = {
    press: false,
    leave: false,
    endServers: false,
  };
  private stopped = false;
  private sent = 0;
  private readonly running: Promise<void>[] = [];

  constructor(
    private readonly system: SoakSystem,
    private readonly history: History,
    private readonly random: Random,
  ) {}

  /** Starts as many callers, and the two that only act while they are told to. */
  start(count: number): void {
    for (let index = 0; index < count; index++) {
      this.running.push(this.callOn(() => this.drawRequest(), PAUSE_MS));
    }
    this.running.push(
      this.callOn(
        () => (this.faults.press ? this.createPressing() : undefined),
        PRESS_PAUSE_MS,
      ),
      this.callOn(
        () => (this.faults.endServers ? this.createEnding() : undefined),
        ENDING_PAUSE_MS,
      ),
    );
  }

  /** Stops; returns once every request has its end. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.running);
  }

  /** Asks every host some times, with a channel each; counts what is served. */
  async askAll(times: number): Promise<void> {
    const {recovery} = this.history;
    for (const host of this.system.hosts) {
      const caller = this.createCaller(() => [host]);
      for (let time = 0; time < times; time++) {
        const wanted = this.create(RequestKind.REPEATABLE, '/i/x');
        const {status} = await caller.send(wanted, this.createId());
        recovery.asked++;
        recovery.served += status === OK ? 1 : 0;
      }
      caller.leaveHost();
    }
  }

  private createCaller(listHosts: () => readonly SoakHost[]): Caller {
    const {system, history, random} = this;
    const getNowMs = () => system.getNowMs();
    return new Caller({listHosts, getNowMs, history, random});
  }

  private async callOn(
    draw: () => Wanted | undefined,
    pauseMs: number,
  ): Promise<void> {
    const caller = this.createCaller(() => this.system.listInRotation());
    while (!this.stopped) {
      const wanted = draw();
      if (wanted !== undefined) {
        await caller.send(wanted, this.createId());
      }
      await wait(pauseMs * (0.5 + this.random.next()));
    }
    caller.leaveHost();
  }

  private createId(): string {
    return `r${++this.sent}`;
  }

  private drawRequest(): Wanted {
    const drawn = this.random.next();
    if (drawn < PROBE_SHARE) {
      const routes = this.system.listExtraRoutes();
      const route = routes[Math.floor(this.random.next() * routes.length)];
      return this.create(RequestKind.REPEATABLE, route ?? '/i/');
    }
    if (drawn < 0.45) {
      return this.create(RequestKind.ONCE, '/o/x');
    }
    return drawn < 0.75
      ? this.create(RequestKind.REPEATABLE, '/i/x')
      : this.create(RequestKind.STREAM, '/s/x');
  }

  private create(kind: RequestKind, path: string): Wanted {
    const leaves = this.faults.leave && this.random.next() < LEAVE_SHARE;
    return {
      kind,
      path,
      body: `body ${this.sent}`,
      key: KEY,
      customer: CUSTOMER,
      leaveMs: leaves ? LEAVE_MS : undefined,
    };
  }

  private createPressing(): Wanted {
    return {
      ...this.create(RequestKind.REPEATABLE, '/i/press'),
      key: PRESSING_KEY,
      customer: PRESSING_CUSTOMER,
    };
  }

  private createEnding(): Wanted {
    return {
      ...this.create(RequestKind.REPEATABLE, '/i/end'),
      body: this.history.endingBody,
      leaveMs: undefined,
    };
  }
}
