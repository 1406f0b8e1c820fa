import {expect} from 'chai';
import fc from 'fast-check';
import {PERMIT_LIFETIME_MS, PermitSchedule} from '../../src/limits/index.js';

const START_MS = 1_770_000_000_000;

function createSchedules(hosts: number, perSecond: number): PermitSchedule[] {
  return Array.from({length: hosts}, (_value, place) => {
    const schedule = new PermitSchedule();
    schedule.setPlan({perSecond, hosts, place}, START_MS);
    return schedule;
  });
}

/** Uses all available permits; returns how many. */
function takeAll(schedules: readonly PermitSchedule[], nowMs: number): number {
  let taken = 0;
  for (const schedule of schedules) {
    for (; schedule.countAvailable(nowMs) > 0; taken++) {
      schedule.take(nowMs);
    }
  }
  return taken;
}

describe('PermitSchedule', () => {
  it('issues no permit at the start', () => {
    expect(takeAll(createSchedules(350, 2.6), START_MS)).to.equal(0);
  });

  it('issues each permit to exactly one host', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 400}),
        fc.double({min: 0.5, max: 500, noNaN: true}),
        fc.array(fc.integer({min: 1, max: PERMIT_LIFETIME_MS - 1}), {
          minLength: 1,
          maxLength: 40,
        }),
        (hosts, perSecond, pausesMs) => {
          const schedules = createSchedules(hosts, perSecond);
          let nowMs = START_MS;
          let taken = 0;
          for (const pauseMs of pausesMs) {
            nowMs += pauseMs;
            taken += takeAll(schedules, nowMs);
          }
          const whole = (perSecond * (nowMs - START_MS)) / 1000;
          expect(taken).to.be.within(whole - 1.01, whole + 1.01);
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });

  it('expires a permit that is not used in time', () => {
    const schedules = createSchedules(8, 10);
    const taken = takeAll(schedules, START_MS + 60_000);
    expect(taken).to.be.at.most((10 * PERMIT_LIFETIME_MS) / 1000 + 1);
  });

  it('voids the permits issued before the set of hosts changed', () => {
    const [schedule] = createSchedules(1, 10) as [PermitSchedule];
    const nowMs = START_MS + 1000;
    expect(schedule.countAvailable(nowMs)).to.equal(10);
    schedule.setPlan({perSecond: 10, hosts: 2, place: 0}, nowMs);
    expect(schedule.countAvailable(nowMs)).to.equal(0);
    expect(schedule.countAvailable(nowMs + 1000)).to.equal(5);
  });

  it('marks one permit per second over all hosts as a probe', () => {
    const schedules = createSchedules(8, 20);
    let probes = 0;
    for (let ms = 0; ms < 10_000; ms += 10) {
      for (const schedule of schedules) {
        const nowMs = START_MS + ms;
        probes += schedule.holdsProbePermit(nowMs) ? 1 : 0;
        schedule.take(nowMs);
      }
    }
    expect(probes).to.be.within(9, 11);
  });

  it('returns when the next permit is issued', () => {
    const [schedule] = createSchedules(8, 4) as [PermitSchedule];
    const waitMs = schedule.getWaitMs(START_MS);
    expect(waitMs).to.be.within(1, 2000);
    expect(schedule.countAvailable(START_MS + waitMs - 1)).to.equal(0);
    expect(schedule.countAvailable(START_MS + waitMs + 1)).to.equal(1);
  });

  it('continues when reference time is stepped back', () => {
    const [schedule] = createSchedules(1, 10) as [PermitSchedule];
    const earlierMs = START_MS - 3_600_000;
    expect(schedule.countAvailable(earlierMs)).to.equal(0);
    expect(schedule.countAvailable(earlierMs + 1000)).to.be.within(9, 11);
  });
});
