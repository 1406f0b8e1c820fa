/**
 * Guards against blocking long requests that continue at other servers and meet the
 * termination of several, which they did not cause.
 */
import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {
  TerminatedServers,
  Quarantine,
  SenderRuns,
  WatchedContent,
  WatchedSender,
} from '../../src/quarantine/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVER_COUNT = 14;
const REQUEST_COUNT = 1000;
const CUSTOMER_COUNT = 5;
const WAVE_PAUSE_MS = 3000;

/** A long request, and the index of the server that runs it. */
interface Run {
  readonly content: WatchedContent;
  server: number;
}

describe('a thousand long requests', () => {
  let clock: VirtualClock;
  let random: SeededRandom;
  let runs: Run[];
  /** Incarnation number of each server. */
  let incarnations: number[];

  beforeEach(() => {
    clock = new VirtualClock();
    random = new SeededRandom(3);
    incarnations = Array.from({length: SERVER_COUNT}, () => 0);
    const quarantine = new Quarantine({
      clock,
      log: new SilentLog(),
      metrics: new Metrics(),
    });
    // Every server that loses a run has terminated.
    const terminatedServers = new TerminatedServers(clock, async () => true);
    const senderRuns = new SenderRuns(clock);
    const options = {quarantine, terminatedServers, senderRuns};
    runs = Array.from({length: REQUEST_COUNT}, (_unused, at) => {
      const caller = `customer-${at % CUSTOMER_COUNT}`;
      const body = Buffer.from(`request ${at}`);
      const content = new WatchedContent(
        options,
        () => ({method: 'POST', path: '/s/x', caller, body}),
        new WatchedSender(options, {caller, route: 'stream'}),
      );
      content.beginRun();
      return {content, server: drawServer(new Set())};
    });
  });

  function drawServer(down: ReadonlySet<number>): number {
    for (;;) {
      const server = Math.floor(random.next() * SERVER_COUNT);
      if (!down.has(server)) {
        return server;
      }
    }
  }

  /** Terminates servers; their runs continue at others. */
  async function terminate(
    servers: ReadonlySet<number>,
    wasLeaving = false,
  ): Promise<void> {
    const lost = runs.filter(({server}) => servers.has(server));
    const recorded = lost.map(({content, server}) =>
      content.addLoss({
        name: `s${server}`,
        incarnation: `s${server}@${incarnations[server]}`,
        address: `10.0.0.${server}:1`,
        wasLeaving,
      }),
    );
    await Promise.all(recorded);
    for (const server of servers) {
      incarnations[server] = (incarnations[server] ?? 0) + 1;
    }
    for (const run of lost) {
      run.content.endRun();
      run.content.beginRun();
      run.server = drawServer(servers);
    }
  }

  function countBlocked(): number {
    return runs.filter(
      ({content}) =>
        content.getRemainingBlockMs() + content.getSenderRemainingBlockMs() > 0,
    ).length;
  }

  for (const waves of [2, 3]) {
    it(`are not blocked after ${waves} waves of kills`, async () => {
      for (let wave = 0; wave < waves; wave++) {
        const first = (wave * 5) % SERVER_COUNT;
        const killed = Array.from({length: 7}, (_unused, at) => first + at);
        await terminate(new Set(killed.map(server => server % SERVER_COUNT)));
        expect(countBlocked()).to.equal(0);
        await clock.advance(WAVE_PAUSE_MS);
      }
      expect(countBlocked()).to.equal(0);
    });
  }

  it('are not blocked while one data centre after another is reclaimed', async () => {
    for (const centre of [0, 1, 2, 3]) {
      const servers = [0, 1, 2, 3].map(at => (centre * 4 + at) % SERVER_COUNT);
      await terminate(new Set(servers), true);
      await clock.advance(WAVE_PAUSE_MS);
    }
    expect(countBlocked()).to.equal(0);
  });

  it('are not blocked by a server that terminates and restarts repeatedly', async () => {
    for (let round = 0; round < 6; round++) {
      const lost = runs.filter(({server}) => server === 0);
      await terminate(new Set([0]));
      // The server restarts at once, and runs some of them again.
      for (const run of lost.slice(round)) {
        run.server = round < 4 ? 0 : run.server;
      }
      await clock.advance(1500);
    }
    expect(countBlocked()).to.equal(0);
  });
});
