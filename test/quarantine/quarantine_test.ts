import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {Quarantine, suspectUpdatesSchema} from '../../src/quarantine/index.js';
import {VirtualClock} from '../../src/time/index.js';

const CONTENT = 'c1';
const TEN_MINUTES_MS = 600_000;

describe('Quarantine', () => {
  let clock: VirtualClock;
  let quarantine: Quarantine;

  beforeEach(() => {
    clock = new VirtualClock();
    quarantine = create();
  });

  function create(): Quarantine {
    return new Quarantine({
      clock,
      log: new SilentLog(),
      metrics: new Metrics(),
    });
  }

  /** Runs the content at servers, one after the other, that all terminate. */
  function terminateInTurn(...servers: readonly string[]): void {
    for (const server of servers) {
      quarantine.addTermination(CONTENT, server, quarantine.getLevel(CONTENT));
    }
  }

  function isBlocked(target = quarantine): boolean {
    return target.getRemainingBlockMs(CONTENT) > 0;
  }

  describe('a request under which servers terminate', () => {
    it('is blocked after the third termination, for ten minutes', async () => {
      terminateInTurn('s1', 's2');
      expect(isBlocked()).to.equal(false);
      terminateInTurn('s3');
      expect(quarantine.getRemainingBlockMs(CONTENT)).to.equal(TEN_MINUTES_MS);
      await clock.advance(TEN_MINUTES_MS);
      expect(isBlocked()).to.equal(false);
    });

    it('is blocked though most of its runs began concurrently', () => {
      for (const server of ['s1', 's2', 's3']) {
        quarantine.addTermination(CONTENT, server, 0);
      }
      expect(isBlocked()).to.equal(false);
      terminateInTurn('s4');
      expect(isBlocked()).to.equal(true);
    });

    it('counts each incarnation of a server once', () => {
      terminateInTurn('s1', 's1', 's1', 's1');
      expect(isBlocked()).to.equal(false);
    });

    it('does not affect other requests', () => {
      terminateInTurn('s1', 's2', 's3');
      expect(quarantine.getRemainingBlockMs('c2')).to.equal(0);
    });
  });

  describe('a frequent request on servers that fail together', () => {
    it('is not blocked, and is cleared by its next answer', () => {
      for (const server of ['s1', 's2', 's3', 's4']) {
        quarantine.addTermination(CONTENT, server, 0);
      }
      quarantine.addSuccess(CONTENT, quarantine.getLevel(CONTENT));
      terminateInTurn('s5', 's6');
      expect(isBlocked()).to.equal(false);
      terminateInTurn('s7');
      expect(isBlocked()).to.equal(true);
    });

    it('is not cleared by an answer to a run from before they failed', () => {
      terminateInTurn('s1', 's2');
      quarantine.addSuccess(CONTENT, 0);
      terminateInTurn('s3');
      expect(isBlocked()).to.equal(true);
    });
  });

  describe('a report from another host', () => {
    it('is merged with others, in any order and more than once', () => {
      const second = create();
      const third = create();
      quarantine.addTermination(CONTENT, 's1', 0);
      second.merge(quarantine.listSince(0).suspects);
      second.addTermination(CONTENT, 's2', second.getLevel(CONTENT));
      third.addTermination(CONTENT, 's3', 0);
      for (const from of [second, quarantine, third, second]) {
        for (const to of [third, quarantine, second]) {
          to.merge(from.listSince(0).suspects);
        }
      }
      expect([quarantine, second, third].map(isBlocked)).to.deep.equal([
        true,
        true,
        true,
      ]);
    });

    it('contains only what has changed since a version', () => {
      terminateInTurn('s1');
      const {version} = quarantine.listSince(0);
      expect(quarantine.listSince(version).suspects).to.deep.equal([]);
      quarantine.addTermination('c2', 's1', 0);
      const contents = quarantine
        .listSince(version)
        .suspects.map(({content}) => content);
      expect(contents).to.deep.equal(['c2']);
    });

    it('changes no version if everything in it is known', () => {
      const second = create();
      terminateInTurn('s1', 's2');
      second.merge(quarantine.listSince(0).suspects);
      const before = quarantine.getVersion();
      quarantine.merge(second.listSince(0).suspects);
      expect(quarantine.getVersion()).to.equal(before);
    });

    it('is split into pages if there are many suspects', () => {
      for (let index = 0; index < 450; index++) {
        quarantine.addTermination(`c${index}`, 's1', 0);
      }
      const second = create();
      let heard = 0;
      for (let pages = 0; pages < 3; pages++) {
        const {version, suspects} = quarantine.listSince(heard);
        second.merge(suspects);
        heard = version;
      }
      expect(heard).to.equal(quarantine.getVersion());
      expect(second.listSince(0).suspects).to.have.length(200);
      expect(second.getLevel('c0')).to.equal(1);
      expect(second.getLevel('c449')).to.equal(1);
    });

    it('clears at every host what was answered at one host', () => {
      const second = create();
      terminateInTurn('s1', 's2');
      second.merge(quarantine.listSince(0).suspects);
      second.addSuccess(CONTENT, second.getLevel(CONTENT));
      quarantine.merge(second.listSince(0).suspects);
      // A delayed report does not restore the cleared terminations.
      quarantine.merge([
        {
          content: CONTENT,
          clearedLevel: 0,
          ends: [{server: 's1', level: 1, ageMs: 0}],
        },
      ]);
      terminateInTurn('s3', 's4');
      expect(isBlocked()).to.equal(false);
    });

    it('is dated by the terminations, not by its arrival', async () => {
      const second = create();
      terminateInTurn('s1', 's2', 's3');
      await clock.advance(TEN_MINUTES_MS / 2);
      second.merge(quarantine.listSince(0).suspects);
      expect(second.getRemainingBlockMs(CONTENT)).to.equal(TEN_MINUTES_MS / 2);
      await clock.advance(TEN_MINUTES_MS / 2);
      const third = create();
      third.merge(second.listSince(0).suspects);
      expect(third.hasSuspects()).to.equal(false);
    });
  });

  // Guards against reports that no host accepts: a suspect collected terminations without end.
  describe('a suspect under which very many servers terminate', () => {
    it('is reported in a form that other hosts accept', () => {
      for (let index = 0; index < 2000; index++) {
        quarantine.addTermination(CONTENT, `10.0.0.1:1#i-${index}`, 0);
      }
      const page = {...quarantine.listSince(0), heard: 0};
      expect(suspectUpdatesSchema.safeParse(page).success).to.equal(true);
      expect(isBlocked()).to.equal(false);
      terminateInTurn('s1');
      expect(isBlocked()).to.equal(true);
    });
  });

  describe('many suspects', () => {
    it('evict the oldest, but none that is blocked', () => {
      terminateInTurn('s1', 's2', 's3');
      for (let index = 0; index < 5000; index++) {
        quarantine.addTermination(`other${index}`, 's1', 0);
      }
      expect(isBlocked()).to.equal(true);
      expect(quarantine.getLevel('other0')).to.equal(0);
      expect(quarantine.getLevel('other4999')).to.equal(1);
    });
  });
});
