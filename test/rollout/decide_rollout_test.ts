import {expect} from 'chai';
import {
  createVersionCounts,
  decideRollout,
  RolloutAct,
  RolloutQuestion,
  RolloutState,
  VersionCounts,
} from '../../src/rollout/index.js';

const FROM = 'v1';
const TO = 'v2';
const DURATION_MS = 12_000;

function count(
  version: string,
  figures: Partial<VersionCounts>,
): VersionCounts {
  return {...createVersionCounts(version, 'notice'), ...figures};
}

describe('decideRollout', () => {
  const counts = [
    count(FROM, {sent: 1000, answers: 1000}),
    count(TO, {sent: 40, answers: 40}),
  ];

  function ask(change: Partial<RolloutQuestion>, shiftedMs?: number) {
    return decideRollout({
      rollout: {
        service: 'desk',
        order: 1,
        from: FROM,
        to: TO,
        durationMs: DURATION_MS,
        startedMs: 0,
        state: RolloutState.RUNNING,
        ...(shiftedMs === undefined ? {} : {shiftedMs}),
      },
      nowMs: 5000,
      counts,
      recent: counts,
      readyFrom: 4,
      readyTo: 4,
      bound: {share: 0.1, slack: 50},
      ...change,
    });
  }

  it('gives the new version a small part of its bound at first', () => {
    const {act, share} = ask({});
    expect(act).to.equal(RolloutAct.GO_ON);
    expect(share).to.be.within(0.01, 0.05);
  });

  it('pauses before the bound is reached', () => {
    const much = [
      count(FROM, {sent: 1000, answers: 1000}),
      count(TO, {sent: 100, answers: 100}),
    ];
    expect(ask({counts: much}).share).to.equal(0);
  });

  it('sends all there once the time for it is nearly over', () => {
    expect(ask({nowMs: 11_900}).act).to.equal(RolloutAct.SHIFT);
  });

  it('waits where a route has shown too little', () => {
    const rare = {...count(FROM, {sent: 500, answers: 500}), route: 'watch'};
    const {act} = ask({nowMs: 20_000, counts: [...counts, rare]});
    expect(act).to.equal(RolloutAct.GO_ON);
  });

  it('completes only when the old servers run nothing', () => {
    const busy = [count(FROM, {sent: 9, running: 1}), count(TO, {sent: 99})];
    expect(ask({nowMs: 20_000, counts: busy}, 12_000).act).to.equal(
      RolloutAct.GO_ON,
    );
    expect(ask({nowMs: 20_000}, 12_000).act).to.equal(RolloutAct.COMPLETE);
  });

  it('does not go on alone when servers of the new version are lost', () => {
    const {act, share} = ask({nowMs: 20_000, readyTo: 2}, 12_000);
    expect(act).to.equal(RolloutAct.GO_ON);
    expect(share).to.be.lessThan(0.1);
  });

  it('rolls back what was good for long and fails of late', () => {
    const many = [
      count(FROM, {sent: 90_000, answers: 90_000, bad: 4000}),
      count(TO, {sent: 4000, answers: 4000, bad: 100}),
    ];
    const recent = [
      count(FROM, {sent: 1000, answers: 1000, bad: 10}),
      count(TO, {sent: 40, answers: 40, bad: 15}),
    ];
    expect(ask({counts: many}).act).to.equal(RolloutAct.GO_ON);
    const {act, reason} = ask({counts: many, recent});
    expect(act).to.equal(RolloutAct.ROLL_BACK);
    expect(reason).to.contain('15 of 40 bad');
  });
});
