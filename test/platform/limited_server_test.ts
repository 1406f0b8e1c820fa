import {expect} from 'chai';
import {answerWith, Script} from './stand_in/stand_in_server.js';
import {
  CallerView,
  RunningHost,
  StandInSystem,
} from './stand_in/stand_in_system.js';

/** Requests a second that each limited server takes from all hosts together. */
const LIMIT = 2.6;
/** Time in which all hosts have to know a limit, in milliseconds. */
const CONTACT_MS = 3000;
/** Span in which what a server gets is counted, in milliseconds. */
const WINDOW_MS = 4000;
/** Requests in such a span that a limit allows. */
const ALLOWED = 1.5 * LIMIT * (WINDOW_MS / 1000) + 5;
const SERVERS = 14;
const HOSTS = [
  'front-1',
  'front-2',
  'front-3',
  'front-4',
  'front-5',
  'front-6',
];
/** Requests a second of all callers together. */
const RATE = 120;
/** Part of what limited servers take that has to be used. */
const USED_SHARE = 0.8;
/** Time in which a server has its full share again, in milliseconds. */
const BACK_MS = 2000;
/** Time in which a request that cannot be served is refused, in milliseconds. */
const REFUSED_MS = 50;
/** Part of the refusals that may come later: the machine may be busy. */
const LATE_SHARE = 0.05;

/** A limit that servers name, and what they got. */
class LimitedServers {
  /** When each server got each of its requests, in milliseconds. */
  readonly arrivalsMs: number[][] = [];
  private readonly limited = new Set<number>();

  /** Has a server name a limit from now on, or none. */
  setLimited(index: number, isLimited: boolean): void {
    if (isLimited) {
      this.limited.add(index);
    } else {
      this.limited.delete(index);
    }
  }

  /** Returns how a server answers. */
  createScript(index: number): Script {
    const arrivalsMs: number[] = [];
    this.arrivalsMs[index] = arrivalsMs;
    const plain = answerWith('whole');
    return (socket, request) => {
      arrivalsMs.push(performance.now());
      if (!this.limited.has(index)) {
        plain(socket, request);
        return;
      }
      socket.write(
        [
          'HTTP/1.1 200 X',
          `Request-Id: ${request.headers.get('request-id')}`,
          'Server-Signature: sig',
          `Server-Limit: ${LIMIT}`,
          'Content-Length: 5',
          'Keep-Alive: timeout=5',
          '',
          'whole',
        ].join('\r\n'),
      );
    };
  }

  /** Returns how many requests a server got from a moment up to another. */
  countBetween(index: number, fromMs: number, toMs: number): number {
    const arrivals = this.arrivalsMs[index] ?? [];
    return arrivals.filter(ms => ms >= fromMs && ms < toMs).length;
  }

  /** Returns the most that a server got in some span after a moment. */
  countMost(index: number, fromMs: number): number {
    const arrivals = (this.arrivalsMs[index] ?? []).filter(ms => ms >= fromMs);
    let most = 0;
    for (const [first, startMs] of arrivals.entries()) {
      const later = arrivals.slice(first);
      const count = later.filter(ms => ms < startMs + WINDOW_MS).length;
      most = Math.max(most, count);
    }
    return most;
  }
}

/** An answer as a caller got it, and how long it took. */
interface TimedView extends CallerView {
  readonly tookMs: number;
}

describe('a server that names a limit', () => {
  let system: StandInSystem;
  let hosts: RunningHost[];
  let limits: LimitedServers;

  beforeEach(async () => {
    system = new StandInSystem();
    limits = new LimitedServers();
    system.addServers(SERVERS, (_server, index) => limits.createScript(index));
    await system.start();
    hosts = await system.startHosts(HOSTS);
  });

  afterEach(() => system.stop());

  /** Has callers send at the usual rate, each host in its turn. */
  async function sendFor(spanMs: number): Promise<TimedView[]> {
    const startMs = performance.now();
    const calls: Promise<TimedView | undefined>[] = [];
    for (let sent = 0; ; sent++) {
      const dueMs = startMs + (sent * 1000) / RATE;
      if (dueMs >= startMs + spanMs) {
        break;
      }
      const host = hosts[sent % hosts.length] as RunningHost;
      await new Promise(resolve =>
        setTimeout(resolve, dueMs - performance.now()),
      );
      calls.push(send(host));
    }
    const views = await Promise.all(calls);
    return views.filter(view => view !== undefined);
  }

  async function send(host: RunningHost): Promise<TimedView | undefined> {
    const sentMs = performance.now();
    try {
      const view = await system.call(host, '/a/x', {}, 'body');
      return {...view, tookMs: performance.now() - sentMs};
    } catch {
      return undefined;
    }
  }

  // Guards against a server being sent several times what it said it takes of all
  // hosts together.
  it('gets no more than that of all hosts together', async () => {
    limits.setLimited(0, true);
    const namedMs = performance.now();
    await sendFor(CONTACT_MS + 2 * WINDOW_MS);
    const most = limits.countMost(0, namedMs + CONTACT_MS);
    expect(most).to.be.at.most(ALLOWED);
  }).timeout(60_000);

  it('has its full share again once it names none', async () => {
    limits.setLimited(0, true);
    await sendFor(CONTACT_MS);
    limits.setLimited(0, false);
    await sendFor(BACK_MS);
    const backMs = performance.now();
    await sendFor(WINDOW_MS);
    const own = limits.countBetween(0, backMs, Infinity);
    let others = 0;
    for (let index = 1; index < SERVERS; index++) {
      others += limits.countBetween(index, backMs, Infinity);
    }
    expect(own).to.be.above(others / (SERVERS - 1) / 2);
  }).timeout(60_000);

  it('and all others do, too: that is used, and the rest refused at once', async () => {
    for (let index = 0; index < SERVERS; index++) {
      limits.setLimited(index, true);
    }
    await sendFor(CONTACT_MS);
    const fromMs = performance.now();
    const views = await sendFor(2 * WINDOW_MS);
    const spanMs = performance.now() - fromMs;
    let used = 0;
    for (let index = 0; index < SERVERS; index++) {
      expect(limits.countMost(index, fromMs)).to.be.at.most(ALLOWED);
      used += limits.countBetween(index, fromMs, Infinity);
    }
    const least = (USED_SHARE * SERVERS * LIMIT * spanMs) / 1000;
    expect(used).to.be.at.least(least);
    const refused = views.filter(({status}) => status === 503);
    expect(refused.length).to.be.above(views.length / 2);
    for (const {body, headers} of refused) {
      expect(body).to.contain('"service-limited"').and.contain('"no"');
      expect(Number(headers['retry-after'])).to.be.above(0);
    }
    const late = refused.filter(({tookMs}) => tookMs > REFUSED_MS);
    expect(late.length).to.be.at.most(LATE_SHARE * refused.length);
  }).timeout(60_000);
});
