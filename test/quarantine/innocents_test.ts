/** Pattern: long requests that go on elsewhere, and meet the end of several servers. */
import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {
  EndedServers,
  Quarantine,
  SenderRuns,
  WatchedContent,
  WatchedSender,
} from '../../src/quarantine/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVERS = 14;
const REQUESTS = 1000;
const CUSTOMERS = 5;
const WAVE_PAUSE_MS = 3000;

/** A long request, and where it runs. */
interface Run {
  readonly content: WatchedContent;
  server: number;
}

describe('a thousand long requests', () => {
  let clock: VirtualClock;
  let random: SeededRandom;
  let runs: Run[];
  /** Count of starts of each server. */
  let starts: number[];

  beforeEach(() => {
    clock = new VirtualClock();
    random = new SeededRandom(3);
    starts = Array.from({length: SERVERS}, () => 0);
    const quarantine = new Quarantine({
      clock,
      log: new SilentLog(),
      metrics: new Metrics(),
    });
    // Whatever a run is lost at has ended.
    const endedServers = new EndedServers(clock, async () => true);
    const senderRuns = new SenderRuns(clock);
    const options = {quarantine, endedServers, senderRuns};
    runs = Array.from({length: REQUESTS}, (_unused, at) => {
      const caller = `customer-${at % CUSTOMERS}`;
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
      const server = Math.floor(random.next() * SERVERS);
      if (!down.has(server)) {
        return server;
      }
    }
  }

  /** Ends servers; what ran there goes on at others. */
  async function end(
    servers: ReadonlySet<number>,
    wasLeaving = false,
  ): Promise<void> {
    const lost = runs.filter(({server}) => servers.has(server));
    const noted = lost.map(({content, server}) =>
      content.addLoss({
        name: `s${server}`,
        start: `s${server}@${starts[server]}`,
        address: `10.0.0.${server}:1`,
        wasLeaving,
      }),
    );
    await Promise.all(noted);
    for (const server of servers) {
      starts[server] = (starts[server] ?? 0) + 1;
    }
    for (const run of lost) {
      run.content.endRun();
      run.content.beginRun();
      run.server = drawServer(servers);
    }
  }

  function countKeptAway(): number {
    return runs.filter(
      ({content}) => content.getHeldMs() + content.getSenderHeldMs() > 0,
    ).length;
  }

  for (const waves of [2, 3]) {
    it(`lose none to the quarantine in ${waves} waves of kills`, async () => {
      for (let wave = 0; wave < waves; wave++) {
        const first = (wave * 5) % SERVERS;
        const killed = Array.from({length: 7}, (_unused, at) => first + at);
        await end(new Set(killed.map(server => server % SERVERS)));
        expect(countKeptAway()).to.equal(0);
        await clock.advance(WAVE_PAUSE_MS);
      }
      expect(countKeptAway()).to.equal(0);
    });
  }

  it('lose none while a data centre after the other is taken back', async () => {
    for (const centre of [0, 1, 2, 3]) {
      const servers = [0, 1, 2, 3].map(at => (centre * 4 + at) % SERVERS);
      await end(new Set(servers), true);
      await clock.advance(WAVE_PAUSE_MS);
    }
    expect(countKeptAway()).to.equal(0);
  });

  it('lose none to a server that goes down and up by turns', async () => {
    for (let turn = 0; turn < 6; turn++) {
      const lost = runs.filter(({server}) => server === 0);
      await end(new Set([0]));
      // It is back at once, and gets some of them again.
      for (const run of lost.slice(turn)) {
        run.server = turn < 4 ? 0 : run.server;
      }
      await clock.advance(1500);
    }
    expect(countKeptAway()).to.equal(0);
  });
});
