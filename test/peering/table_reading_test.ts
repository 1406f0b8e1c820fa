import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {
  HostAddress,
  isTableReader,
  KnownHosts,
  ReadAge,
  TableReading,
} from '../../src/peering/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';

const NEWS_MS = 4000;
const TABLES = ['catalog', 'servers'];

/** Creates hosts in three data centres; the first one of each is large. */
function createHosts(count: number): HostAddress[] {
  return Array.from({length: count}, (_, index) => ({
    host: `front-${index}`,
    dataCentre: `dc-${index % 3}`,
    address: `10.0.0.${index}:1`,
    capacity: index < 3 ? 1.35 : 0.324,
  }));
}

describe('TableReading', () => {
  let clock: VirtualClock;
  /** Tables whose rows are arriving from a peer. */
  let receiving: Set<string>;

  beforeEach(() => {
    clock = new VirtualClock();
    receiving = new Set();
  });

  function createReading(count: number, index: number) {
    const hosts = createHosts(count);
    const self = hosts[index];
    if (self === undefined) {
      throw new Error(`no host with index ${index}`);
    }
    const known = new KnownHosts({
      clock,
      log: new SilentLog(),
      self,
      staleMs: 2000,
      expiryMs: 30_000,
    });
    for (const host of hosts) {
      known.addAddress(host);
    }
    const readAge = new ReadAge(clock, TABLES);
    const reading = new TableReading({
      clock,
      random: new SeededRandom(1),
      known,
      readAge,
      knowsOthers: () => true,
      getPropagationMs: () => NEWS_MS,
      isReceiving: table => receiving.has(table),
    });
    return {known, readAge, reading};
  }

  it('lets every host of a small fleet read', () => {
    for (let index = 0; index < 8; index++) {
      expect(createReading(8, index).reading.canSkip('servers')).to.equal(
        false,
      );
    }
  });

  it('selects two readers in a large fleet', () => {
    const readers: number[] = [];
    for (let index = 0; index < 60; index++) {
      const {known} = createReading(60, index);
      if (isTableReader(known)) {
        readers.push(index);
      }
    }
    expect(readers).to.have.length(2);
  });

  it('lets a host read that has no report of a reader within its share of the limit', async () => {
    const {readAge, reading} = createReading(60, 30);
    await clock.advance(5000);
    for (const table of TABLES) {
      readAge.addReported(table, clock.monotonicMs());
    }
    expect(reading.canSkip('servers')).to.equal(true);
    await clock.advance(NEWS_MS * 0.65);
    expect(reading.canSkip('servers')).to.equal(true);
    await clock.advance(NEWS_MS * 0.1);
    // Each table is tried once at first, and then at intervals while it does not answer.
    expect(reading.canSkip('servers')).to.equal(false);
    expect(reading.canSkip('catalog')).to.equal(false);
    expect(reading.canSkip('servers')).to.equal(true);
  });

  it('lets it continue while its own reads succeed, until it gets a recent report', async () => {
    const {readAge, reading} = createReading(60, 30);
    await clock.advance(5000);
    for (const table of TABLES) {
      reading.addResponse(table);
    }
    expect(reading.canSkip('servers')).to.equal(false);
    expect(reading.canSkip('servers')).to.equal(false);
    readAge.addReported('servers', clock.monotonicMs() - 500);
    expect(reading.canSkip('servers')).to.equal(true);
  });

  it('lets a starting host read within 200 ms, but not at once', async () => {
    const {reading} = createReading(60, 30);
    expect(reading.canSkip('servers')).to.equal(true);
    await clock.advance(200);
    expect(reading.canSkip('servers')).to.equal(false);
    expect(reading.canSkip('catalog')).to.equal(false);
  });

  it('does not read a table that arrives from a peer, but reads once all peers are behind', async () => {
    const {reading} = createReading(60, 30);
    await clock.advance(5000);
    receiving.add('catalog');
    expect(reading.canSkip('catalog')).to.equal(true);
    expect(reading.canSkip('servers')).to.equal(false);
    receiving.clear();
    expect(reading.canSkip('catalog')).to.equal(false);
  });

  it('does not delay the next reading after a successful one when the age from peers expires', async () => {
    const {readAge, reading} = createReading(60, 30);
    await clock.advance(5000);
    expect(reading.canSkip('servers')).to.equal(false);
    reading.addResponse('servers');
    readAge.addReported('servers', clock.monotonicMs());
    expect(reading.canSkip('servers')).to.equal(true);
    await clock.advance(NEWS_MS * 0.72);
    expect(reading.canSkip('servers')).to.equal(false);
  });

  it('has the age checked when it becomes too high, and seldom before', async () => {
    const {readAge, reading} = createReading(60, 30);
    await clock.advance(5000);
    readAge.addReported('servers', clock.monotonicMs());
    let checks = 0;
    while (reading.canSkip('servers')) {
      checks++;
      await clock.advance(reading.getSkipCheckMs('servers'));
    }
    expect(readAge.getReportedMs('servers')).to.be.closeTo(NEWS_MS * 0.7, 1);
    expect(checks).to.be.at.most(7);
  });

  it('spreads the attempts of hosts without reports while the store is down', async () => {
    const {reading} = createReading(60, 30);
    await clock.advance(5000);
    let tries = 0;
    for (let step = 0; step < 100; step++) {
      tries += reading.canSkip('servers') ? 0 : 1;
      await clock.advance(100);
    }
    expect(tries).to.be.within(3, 10);
  });
});

describe('ReadAge', () => {
  it('tracks each table separately and reports the highest age', async () => {
    const clock = new VirtualClock();
    const age = new ReadAge(clock, TABLES);
    age.addRead('catalog', 0);
    expect(age.getMs('catalog')).to.equal(0);
    expect(age.getMs('servers')).to.equal(Infinity);
    expect(age.getOldestMs()).to.equal(Infinity);
    await clock.advance(100);
    age.addRead('servers', 60);
    expect(age.getOwnMs('servers')).to.equal(40);
    expect(age.getOldestMs()).to.equal(100);
  });

  it('ignores a reading older than the latest', () => {
    const clock = new VirtualClock();
    const age = new ReadAge(clock, TABLES);
    age.addRead('servers', -10);
    age.addRead('servers', -90);
    expect(age.getMs('servers')).to.equal(10);
  });

  it('keeps the latest time that others report', async () => {
    const clock = new VirtualClock();
    const age = new ReadAge(clock, TABLES);
    age.addReported('servers', -50);
    age.addReported('servers', -400);
    await clock.advance(10);
    expect(age.getReportedMs('servers')).to.equal(60);
  });
});
