/** Pattern: a service is moved to another version, good or bad, while hosts fail. */
import {expect} from 'chai';
import {RolloutState} from '../../src/rollout/index.js';
import {AnswerNew, RolloutWorld} from './rollout_world.js';

const HOSTS = 12;
const DURATION_MS = 12_000;
/** What a bad version may get: of all requests within the duration, and besides. */
const SHARE = 0.1;
const SLACK = 50;
/** Time after its 50th bad answer from which it may get nothing, in milliseconds. */
const STOP_MS = 5000;
const FIFTY = 50;
const GOOD_MS = 40;

const good: AnswerNew = () => ({isBad: false, tookMs: GOOD_MS});
const badAtOnce: AnswerNew = ({random}) => ({
  isBad: random < 0.5,
  tookMs: GOOD_MS,
});
const slow: AnswerNew = () => ({isBad: false, tookMs: 5 * GOOD_MS});
const badOnOneRoute: AnswerNew = ({random, route}) => ({
  isBad: route === 'watch' && random < 0.6,
  tookMs: GOOD_MS,
});
/** Makes a version that turns bad at a moment. */
const createLateBad =
  (fromMs: number): AnswerNew =>
  ({nowMs, random}) => ({
    isBad: nowMs >= fromMs && random < 0.5,
    tookMs: GOOD_MS,
  });

describe('a roll-out', () => {
  /** Holds the bounds of what a bad version may get. */
  function expectBounded(world: RolloutWorld, requestsInTime: number): void {
    const inTime = world.newRequests.filter(({atMs}) => atMs <= DURATION_MS);
    expect(inTime.length).to.be.at.most(SHARE * requestsInTime + SLACK);
    expect(world.countNewAfter(world.getBadMs(FIFTY) + STOP_MS)).to.equal(0);
  }

  async function play(answer: AnswerNew): Promise<RolloutWorld> {
    const world = new RolloutWorld(HOSTS, answer);
    world.order(DURATION_MS);
    await world.run(DURATION_MS);
    const {requests} = world;
    await world.run(DURATION_MS);
    if (world.store.told.at(-1) !== RolloutState.COMPLETED) {
      expectBounded(world, requests);
    }
    return world;
  }

  it('of a good version is completed, once the old servers run nothing', async () => {
    const world = await play(good);
    expect(world.store.told).to.deep.equal([
      RolloutState.RUNNING,
      RolloutState.COMPLETED,
    ]);
  }).timeout(60_000);

  for (const [name, answer] of [
    ['fails at once', badAtOnce],
    ['is slow', slow],
    ['fails on one route only', badOnOneRoute],
    ['turns bad in the middle', createLateBad(6000)],
    ['turns bad at the end', createLateBad(DURATION_MS)],
  ] as const) {
    it(`of a version that ${name} is rolled back`, async () => {
      const world = await play(answer);
      expect(world.store.told.at(-1)).to.equal(RolloutState.ROLLED_BACK);
      expect(world.store.told).not.to.include(RolloutState.COMPLETED);
    }).timeout(60_000);
  }

  it('is not rolled back for what troubles both versions', async () => {
    const world = new RolloutWorld(HOSTS, ({random}) => ({
      isBad: random < 0.3,
      tookMs: GOOD_MS,
    }));
    world.oldIsBad = random => random < 0.3;
    world.order(DURATION_MS);
    await world.run(2 * DURATION_MS);
    expect(world.store.told).not.to.include(RolloutState.ROLLED_BACK);
  }).timeout(60_000);

  it('is not completed while too few of the new servers are there', async () => {
    const world = new RolloutWorld(HOSTS, good);
    world.newServers = 2;
    world.order(DURATION_MS);
    await world.run(2 * DURATION_MS);
    expect(world.store.told).to.deep.equal([RolloutState.RUNNING]);
  }).timeout(60_000);

  it('to a version that nobody runs is not completed, nor is anything sent there', async () => {
    const world = new RolloutWorld(HOSTS, good);
    world.newServers = 0;
    world.order(DURATION_MS);
    await world.run(2 * DURATION_MS);
    expect(world.store.told).to.deep.equal([RolloutState.RUNNING]);
    expect(world.newRequests).to.have.length(0);
  }).timeout(60_000);

  it('to the version that serves already changes nothing', async () => {
    const world = new RolloutWorld(HOSTS, good);
    world.oldServers = 0;
    world.order(DURATION_MS);
    await world.run(DURATION_MS);
    expect(world.store.told).to.deep.equal([]);
  }).timeout(60_000);

  it('gives a version nothing before it is ordered', async () => {
    const world = new RolloutWorld(HOSTS, good);
    world.newServers = 3;
    await world.run(2000);
    expect(world.newRequests).to.have.length(0);
  }).timeout(60_000);

  for (const atMs of [500, 3000, 6000, 11_800, 12_600, 13_500]) {
    for (const [name, answer, end] of [
      ['good', good, RolloutState.COMPLETED],
      ['bad', badAtOnce, RolloutState.ROLLED_BACK],
      ['late bad', createLateBad(7000), RolloutState.ROLLED_BACK],
    ] as const) {
      it(`of a ${name} version goes on when its holder is killed at ${atMs} ms`, async () => {
        const world = new RolloutWorld(HOSTS, answer);
        world.order(DURATION_MS);
        await world.run(atMs);
        world.getHost(0).isDown = true;
        world.getHost(0).fence = undefined;
        await world.run(2000);
        world.appoint(1);
        world.start(0);
        await world.run(DURATION_MS - atMs - 2000);
        const {requests} = world;
        await world.run(2 * DURATION_MS);
        expect(world.store.told.at(-1)).to.equal(end);
        if (end === RolloutState.ROLLED_BACK) {
          expectBounded(world, requests);
        }
      }).timeout(60_000);
    }
  }

  it('is held by one alone, though the one before believes to hold it', async () => {
    const world = new RolloutWorld(HOSTS, badAtOnce);
    world.order(DURATION_MS);
    await world.run(3000);
    world.appoint(1, false);
    await world.run(2 * DURATION_MS);
    expect(world.store.told).to.deep.equal([
      RolloutState.RUNNING,
      RolloutState.ROLLED_BACK,
    ]);
    expect(world.countNewAfter(world.getBadMs(FIFTY) + STOP_MS)).to.equal(0);
  }).timeout(60_000);

  it('sends nothing to a bad version from hosts that are cut off', async () => {
    const world = new RolloutWorld(HOSTS, createLateBad(4000));
    world.order(DURATION_MS);
    await world.run(3900);
    for (const index of [3, 4, 5, 6]) {
      world.getHost(index).isCut = true;
    }
    await world.run(DURATION_MS);
    expect(world.store.told.at(-1)).to.equal(RolloutState.ROLLED_BACK);
    expect(world.countNewAfter(world.getBadMs(FIFTY) + STOP_MS)).to.equal(0);
    expect(world.countNewAfter(3900 + STOP_MS + DURATION_MS / 2)).to.equal(0);
  }).timeout(60_000);

  for (const fault of ['isAway', 'losesAnswers'] as const) {
    for (const atMs of [0, 4000, 11_300]) {
      it(`ends rightly when the table ${fault} from ${atMs} ms`, async () => {
        for (const [answer, end] of [
          [good, RolloutState.COMPLETED],
          [createLateBad(5000), RolloutState.ROLLED_BACK],
        ] as const) {
          const world = new RolloutWorld(HOSTS, answer);
          world.order(DURATION_MS);
          await world.run(atMs);
          world.store[fault] = true;
          await world.run(5000);
          world.store[fault] = false;
          await world.run(2 * DURATION_MS);
          expect(world.store.told.at(-1)).to.equal(end);
          expect(world.countNewAfter(world.getBadMs(FIFTY) + STOP_MS)).to.equal(
            end === RolloutState.COMPLETED ? world.countNewAfter(Infinity) : 0,
          );
        }
      }).timeout(60_000);
    }
  }

  it('is begun anew by a later order for another try', async () => {
    let isMended = false;
    const world = new RolloutWorld(HOSTS, ({random}) => ({
      isBad: !isMended && random < 0.5,
      tookMs: GOOD_MS,
    }));
    world.order(DURATION_MS);
    await world.run(DURATION_MS);
    expect(world.store.told.at(-1)).to.equal(RolloutState.ROLLED_BACK);
    isMended = true;
    world.order(DURATION_MS, 9);
    await world.run(2 * DURATION_MS);
    expect(world.store.told.at(-1)).to.equal(RolloutState.COMPLETED);
  }).timeout(60_000);
});
