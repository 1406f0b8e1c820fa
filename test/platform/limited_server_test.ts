import {expect} from 'chai';
import {answerWith, Script} from './fakes/fake_server.js';
import {CallerTraffic} from './fakes/caller_traffic.js';
import {TestSystem} from './fakes/test_system.js';

/** Requests per second that each limited server accepts from all hosts together. */
const LIMIT_PER_S = 2.6;
/** Time within which all hosts must know a limit, in milliseconds. */
const PROPAGATION_MS = 3000;
/** Span in which the requests to a server are counted, in milliseconds. */
const WINDOW_MS = 4000;
/** Maximum number of requests in such a span under the limit. */
const MAX_PER_WINDOW = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1000) + 5;
const SERVERS = 14;
const HOSTS = [
  'front-1',
  'front-2',
  'front-3',
  'front-4',
  'front-5',
  'front-6',
];
/** Requests per second of all callers together. */
const REQUESTS_PER_S = 120;
/** Minimum share of the requests that limited servers accept that must be used. */
const MIN_USED_SHARE = 0.8;
/** Time within which a server must get its full share again, in milliseconds. */
const RECOVERY_MS = 2000;
/** Time within which a request that cannot be served is refused, in milliseconds. */
const MAX_REFUSAL_MS = 50;
/** Share of the refusals that may come later, since the machine may be busy. */
const MAX_LATE_SHARE = 0.05;

/** Creates servers that may state a limit, and records the requests they get. */
class LimitedServers {
  /** When each server got each of its requests, in milliseconds. */
  readonly arrivalsMs: number[][] = [];
  private readonly limitedServers = new Set<number>();

  /** Sets whether a server states a limit from now on. */
  setLimited(index: number, isLimited: boolean): void {
    if (isLimited) {
      this.limitedServers.add(index);
    } else {
      this.limitedServers.delete(index);
    }
  }

  /** Creates the script of a server. */
  createScript(index: number): Script {
    const arrivalsMs: number[] = [];
    this.arrivalsMs[index] = arrivalsMs;
    const plain = answerWith('whole');
    return (socket, request) => {
      arrivalsMs.push(performance.now());
      if (!this.limitedServers.has(index)) {
        plain(socket, request);
        return;
      }
      socket.write(
        [
          'HTTP/1.1 200 X',
          `Request-Id: ${request.headers.get('request-id')}`,
          'Server-Signature: sig',
          `Server-Limit: ${LIMIT_PER_S}`,
          'Content-Length: 5',
          'Keep-Alive: timeout=5',
          '',
          'whole',
        ].join('\r\n'),
      );
    };
  }

  /** Returns the number of requests that a server got from one time up to another. */
  countBetween(index: number, fromMs: number, toMs: number): number {
    const arrivals = this.arrivalsMs[index] ?? [];
    return arrivals.filter(ms => ms >= fromMs && ms < toMs).length;
  }

  /** Returns the most requests that a server got in any window from a time on. */
  countMaxInWindow(index: number, fromMs: number): number {
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

describe('a server that states a limit', () => {
  let system: TestSystem;
  let traffic: CallerTraffic;
  let limits: LimitedServers;

  beforeEach(async () => {
    system = new TestSystem();
    limits = new LimitedServers();
    system.addServers(SERVERS, (_server, index) => limits.createScript(index));
    await system.start();
    const hosts = await system.startHosts(HOSTS);
    traffic = new CallerTraffic(system, hosts, REQUESTS_PER_S);
  });

  afterEach(() => system.stop());

  // Guards against hosts that together send a server several times the limit that it
  // states for all of them.
  it('gets no more than its limit from all hosts together', async () => {
    limits.setLimited(0, true);
    const statedMs = performance.now();
    await traffic.sendFor(PROPAGATION_MS + 2 * WINDOW_MS);
    const most = limits.countMaxInWindow(0, statedMs + PROPAGATION_MS);
    expect(most).to.be.at.most(MAX_PER_WINDOW);
  }).timeout(60_000);

  it('gets its full share again once it states none', async () => {
    limits.setLimited(0, true);
    await traffic.sendFor(PROPAGATION_MS);
    limits.setLimited(0, false);
    await traffic.sendFor(RECOVERY_MS);
    const recoveredMs = performance.now();
    await traffic.sendFor(WINDOW_MS);
    const own = limits.countBetween(0, recoveredMs, Infinity);
    let others = 0;
    for (let index = 1; index < SERVERS; index++) {
      others += limits.countBetween(index, recoveredMs, Infinity);
    }
    expect(own).to.be.above(others / (SERVERS - 1) / 2);
  }).timeout(60_000);

  it('is used up to its limit if all others state one, and the rest is refused at once', async () => {
    for (let index = 0; index < SERVERS; index++) {
      limits.setLimited(index, true);
    }
    await traffic.sendFor(PROPAGATION_MS);
    const fromMs = performance.now();
    const requests = await traffic.sendFor(2 * WINDOW_MS);
    const spanMs = performance.now() - fromMs;
    let used = 0;
    for (let index = 0; index < SERVERS; index++) {
      expect(limits.countMaxInWindow(index, fromMs)).to.be.at.most(
        MAX_PER_WINDOW,
      );
      used += limits.countBetween(index, fromMs, Infinity);
    }
    const least = (MIN_USED_SHARE * SERVERS * LIMIT_PER_S * spanMs) / 1000;
    expect(used).to.be.at.least(least);
    const refused = requests.filter(({view}) => view.status === 503);
    expect(refused.length).to.be.above(requests.length / 2);
    for (const {view} of refused) {
      const {body, headers} = view;
      expect(body).to.contain('"service-limited"').and.contain('"no"');
      expect(Number(headers['retry-after'])).to.be.above(0);
    }
    const late = refused.filter(
      ({sentMs, answeredMs}) => answeredMs - sentMs > MAX_REFUSAL_MS,
    );
    expect(late.length).to.be.at.most(MAX_LATE_SHARE * refused.length);
  }).timeout(60_000);
});
