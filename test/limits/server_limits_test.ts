import {expect} from 'chai';
import {Maybe, Result} from 'true-myth';
import {ServerLimits, ReportedLimit} from '../../src/limits/index.js';
import {Log, LogFields} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVICE = 'desk';
/** Time after the start in which a host discovers the others, in milliseconds. */
const DISCOVERY_MS = 1500;

/** Records the logged lines. */
class RecordingLog implements Log {
  readonly lines: (readonly [event: string, members: LogFields])[] = [];

  info(event: string, members: LogFields = {}): void {
    this.lines.push([event, members]);
  }

  warn(event: string, members: LogFields = {}): void {
    this.lines.push([event, members]);
  }

  error(event: string, members: LogFields = {}): void {
    this.lines.push([event, members]);
  }

  listEvents(): string[] {
    return this.lines.map(([event]) => event);
  }
}

describe('ServerLimits', () => {
  let clock: VirtualClock;
  let log: RecordingLog;
  let metrics: Metrics;
  let limits: ServerLimits;
  let known: boolean;

  beforeEach(async () => {
    clock = new VirtualClock(1_770_000_000_000);
    log = new RecordingLog();
    metrics = new Metrics();
    known = true;
    limits = create();
    await clock.advance(DISCOVERY_MS);
  });

  function create(): ServerLimits {
    return new ServerLimits({
      clock,
      log,
      metrics,
      getReferenceMs: () => clock.now().getTime(),
      getHostPosition: () => ({hosts: 1, place: 0}),
      isKnownServer: () => known,
    });
  }

  function state(
    server: string,
    perSecond: number | undefined,
    sentMs = clock.monotonicMs(),
  ): void {
    limits.addAnswer(server, Result.ok(Maybe.of(perSecond)), sentMs);
  }

  function reportFromPeer(overrides: Partial<ReportedLimit>): void {
    const told = {server: 's1', perSecond: 2, revision: 1, ageMs: 0};
    limits.mergeReported([{...told, ...overrides}], 'front-2');
  }

  function isExcluded(server: string, rank = 0): boolean {
    return limits.listExcluded(SERVICE, [server], rank).length > 0;
  }

  describe('an answer', () => {
    it('without a limit creates no entry', () => {
      state('s1', undefined);
      expect(limits.hasAny()).to.equal(false);
      expect(limits.getVersion()).to.equal(0);
      expect(isExcluded('s1')).to.equal(false);
    });

    it('with a limit applies it, and logs it with all fields', () => {
      state('s1', 2.6);
      expect(isExcluded('s1')).to.equal(true);
      expect(isExcluded('s2')).to.equal(false);
      expect(log.lines).to.deep.equal([
        [
          'server_limit',
          {
            server: 's1',
            per_second: 2.6,
            before: 'none',
            revision: 1,
            age_ms: '0',
            source: 'answer',
            hosts: 1,
            own_per_second: '2.600',
          },
        ],
      ]);
      expect(metrics.format()).to.contain('sedgefall_servers_limited 1');
    });

    it('that changes the limit slightly creates no new version', () => {
      state('s1', 10);
      state('s1', 12);
      state('s1', 9.5);
      expect(limits.getVersion()).to.equal(1);
    });

    it('that varies slightly each time settles at the low end', () => {
      for (let step = 0; step < 200; step++) {
        state('s1', 10 + Math.sin(step));
      }
      expect(limits.getVersion()).to.be.below(5);
      expect(limits.getLimit('s1')).to.be.within(9, 10);
    });

    it('applies a lower limit at once, a higher one only if sent since', async () => {
      await clock.advance(1000);
      state('s1', 10);
      const earlierMs = clock.monotonicMs() - 500;
      state('s1', 20, earlierMs);
      expect(limits.getLimit('s1')).to.equal(10);
      state('s1', 4, earlierMs);
      expect(limits.getLimit('s1')).to.equal(4);
      await clock.advance(10);
      state('s1', 20);
      expect(limits.getLimit('s1')).to.equal(20);
    });

    it('without a limit ends it only if sent since', async () => {
      await clock.advance(1000);
      state('s1', 10);
      state('s1', undefined, clock.monotonicMs() - 500);
      expect(limits.getLimit('s1')).to.equal(10);
      state('s1', undefined);
      expect(limits.getLimit('s1')).to.equal(undefined);
    });

    it('that cannot be parsed changes nothing, and is logged once per server', () => {
      state('s1', 10);
      for (const server of ['s1', 's1', 's2']) {
        limits.addAnswer(server, Result.err('"x" is no number'), 0);
      }
      expect(limits.getLimit('s1')).to.equal(10);
      expect(log.listEvents()).to.deep.equal([
        'server_limit',
        'server_limit_unusable',
        'server_limit_unusable',
      ]);
    });

    it('with a limit above what any server serves has no effect', () => {
      state('s1', 1e9);
      expect(isExcluded('s1')).to.equal(false);
    });
  });

  describe('a report from a peer', () => {
    it('wins by a higher revision, or by a lower limit of the same revision', () => {
      reportFromPeer({revision: 3, perSecond: 5});
      reportFromPeer({revision: 2, perSecond: 1});
      expect(limits.getLimit('s1')).to.equal(5);
      reportFromPeer({revision: 3, perSecond: 4});
      expect(limits.getLimit('s1')).to.equal(4);
      const told = limits.listSince(0).limits;
      limits.mergeReported([{...told[0]!, perSecond: undefined}], 'front-3');
      expect(limits.getLimit('s1')).to.equal(4);
    });

    it('of the end of a limit outlasts that of the limit before', async () => {
      reportFromPeer({revision: 1});
      reportFromPeer({revision: 2, perSecond: undefined});
      reportFromPeer({revision: 1});
      await clock.advance(2000);
      expect(isExcluded('s1')).to.equal(false);
    });

    it('is logged with its sender and its age', () => {
      reportFromPeer({ageMs: 300});
      const [, members] = log.lines[0] ?? [];
      expect(members?.source).to.equal('peer:front-2');
      expect(members?.age_ms).to.equal('300');
    });

    it('is passed on page by page', () => {
      for (let index = 0; index < 450; index++) {
        reportFromPeer({server: `s${index}`});
      }
      const second = create();
      for (let heard = 0; heard < limits.getVersion();) {
        const page = limits.listSince(heard);
        expect(page.limits.length).to.be.at.most(200);
        second.mergeReported(page.limits, 'front-1');
        heard = page.version;
      }
      expect(second.listSince(0).limits).to.have.length(200);
      expect(second.getLimit('s449')).to.equal(2);
    });
  });

  describe('permits', () => {
    it('are not available before a host has discovered the others', async () => {
      const started = create();
      started.addAnswer('s1', Result.ok(Maybe.just(50)), 0);
      await clock.advance(1000);
      started.listExcluded(SERVICE, ['s1'], 0);
      expect(started.listExcluded(SERVICE, ['s1'], 0)).to.deep.equal(['s1']);
      await clock.advance(1000);
      expect(started.listExcluded(SERVICE, ['s1'], 0)).to.deep.equal([]);
    });

    it('are reserved for more urgent requests, and used if these are few', async () => {
      state('s1', 10);
      const served = [0, 0];
      for (let step = 0; step < 1000; step++) {
        await clock.advance(10);
        // Urgent requests come at half of the limit, the others at ten times the limit.
        for (const rank of [1, ...(step % 20 === 0 ? [0] : [])]) {
          limits.addRequest(SERVICE, rank);
          if (!isExcluded('s1', rank)) {
            limits.takePermit('s1');
            served[rank] = (served[rank] ?? 0) + 1;
          }
        }
      }
      const [urgent = 0, other = 0] = served;
      expect(urgent).to.be.at.least(48);
      expect(other).to.be.within(30, 52);
    });

    it('go only to the most urgent requests if these use all', async () => {
      state('s1', 10);
      let others = 0;
      for (let step = 0; step < 1000; step++) {
        await clock.advance(10);
        for (const rank of [0, 1]) {
          limits.addRequest(SERVICE, rank);
          if (!isExcluded('s1', rank)) {
            limits.takePermit('s1');
            others += rank;
          }
        }
      }
      expect(others).to.be.below(5);
    });
  });

  describe('a refusal', () => {
    it('returns a later time the more requests were refused before', () => {
      state('s1', 2);
      const first = limits.addRefused(SERVICE, ['s1']);
      let last = first;
      for (let count = 0; count < 10; count++) {
        last = limits.addRefused(SERVICE, ['s1']);
      }
      expect(first).to.be.above(0);
      expect(last)
        .to.be.above(first + 1000)
        .and.at.most(10_000);
      expect(metrics.getCount('limit_refused', {service: SERVICE})).to.equal(
        11,
      );
    });
  });

  describe('a tracked limit', () => {
    it('is kept while the server states it, and for a short time after', async () => {
      state('s1', 2);
      await clock.advance(600_000);
      expect(limits.hasAny()).to.equal(true);
      state('s1', undefined);
      await clock.advance(100_000);
      expect(limits.hasAny()).to.equal(false);
    });

    it('is removed when its server is no longer known', async () => {
      state('s1', 2);
      known = false;
      await clock.advance(100_000);
      expect(limits.hasAny()).to.equal(false);
    });

    it('is counted once it has been in effect for a time', async () => {
      state('s1', 2);
      await clock.advance(3000);
      state('s2', 2);
      expect(limits.countLimitedFor(['s1', 's2', 's3'], 3000)).to.equal(1);
    });
  });
});
