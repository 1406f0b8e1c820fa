import {expect} from 'chai';
import {
  createVersionCounts,
  decideRollout,
  RolloutAction,
  RolloutDecisionInput,
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

  function decide(change: Partial<RolloutDecisionInput>, shiftedMs?: number) {
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
      readyOldServers: 4,
      readyNewServers: 4,
      bound: {share: 0.1, slack: 50},
      ...change,
    });
  }

  it('gives the new version a small part of its bound during the trial', () => {
    const {act, share} = decide({});
    expect(act).to.equal(RolloutAction.CONTINUE);
    expect(share).to.be.within(0.01, 0.05);
  });

  it('pauses the trial before the bound is reached', () => {
    const much = [
      count(FROM, {sent: 1000, answers: 1000}),
      count(TO, {sent: 100, answers: 100}),
    ];
    expect(decide({counts: much}).share).to.equal(0);
  });

  it('shifts all requests to the new version when the duration is nearly over', () => {
    expect(decide({nowMs: 11_900}).act).to.equal(RolloutAction.SHIFT);
  });

  it('continues the trial while the new version has too few answers on a route', () => {
    const rare = {...count(FROM, {sent: 500, answers: 500}), route: 'watch'};
    const {act} = decide({nowMs: 20_000, counts: [...counts, rare]});
    expect(act).to.equal(RolloutAction.CONTINUE);
  });

  it('completes only when the old servers have no running requests', () => {
    const busy = [count(FROM, {sent: 9, running: 1}), count(TO, {sent: 99})];
    expect(decide({nowMs: 20_000, counts: busy}, 12_000).act).to.equal(
      RolloutAction.CONTINUE,
    );
    expect(decide({nowMs: 20_000}, 12_000).act).to.equal(
      RolloutAction.COMPLETE,
    );
  });

  it('shifts requests back when servers of the new version are lost', () => {
    const {act, share} = decide({nowMs: 20_000, readyNewServers: 2}, 12_000);
    expect(act).to.equal(RolloutAction.CONTINUE);
    expect(share).to.be.lessThan(0.1);
  });

  it('rolls back a version that was good for a long time and has failed recently', () => {
    const many = [
      count(FROM, {sent: 90_000, answers: 90_000, bad: 4000}),
      count(TO, {sent: 4000, answers: 4000, bad: 100}),
    ];
    const recent = [
      count(FROM, {sent: 1000, answers: 1000, bad: 10}),
      count(TO, {sent: 40, answers: 40, bad: 15}),
    ];
    expect(decide({counts: many}).act).to.equal(RolloutAction.CONTINUE);
    const {act, reason} = decide({counts: many, recent});
    expect(act).to.equal(RolloutAction.ROLL_BACK);
    expect(reason).to.contain('15 of 40 bad');
  });
});
