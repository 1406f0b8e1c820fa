/**
 * Pattern: rows are added, changed and removed while hosts restart, data centres are
 * partitioned, and the hosts that read the table change.
 */
import {expect} from 'chai';
import {SeededRandom} from '../../src/random/index.js';
import {VersionedRow} from '../../src/replica/index.js';
import {HostsFixture} from './hosts_fixture.js';
import {PeerHost} from './peer_host.js';

const HOSTS = 24;
const CENTRES = 3;
const KEYS = 30;
const STEP_MS = 200;
const STEPS = 100;
/** Time without changes or faults in which all hosts get all rows, in milliseconds. */
const QUIET_MS = 12_000;
/** Time after a reader's first reading from which its rows count as complete, in ms. */
const TRUST_MS = 2300;
const SOURCE = 'store';
const READING_CENTRES = ['dc-0', 'dc-1'];

/** The current table, with its history. */
class Table {
  version = 1;
  readonly rows = new Map<string, VersionedRow>();
  private readonly history: VersionedRow[] = [];

  put(key: string, text: string | undefined): void {
    const version = ++this.version;
    const row = text === undefined ? {key, version} : {key, version, text};
    this.history.push(row);
    if (text === undefined) {
      this.rows.delete(key);
    } else {
      this.rows.set(key, row);
    }
  }

  listSince(version: number): VersionedRow[] {
    return this.history.filter(row => row.version > version);
  }
}

/** Since when a host reads the table, and up to which version it has. */
interface Reading {
  readonly sinceMs: number;
  cursor: number;
}

class Simulation {
  readonly fixture = new HostsFixture(HOSTS, CENTRES);
  readonly table = new Table();
  private readonly random: SeededRandom;
  private readonly readings = new Map<PeerHost, Reading>();
  private cut = new Set<string>();

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.fixture.reaches = (from, to) =>
      from.dataCentre === to.dataCentre ||
      !(this.cut.has(from.dataCentre) || this.cut.has(to.dataCentre));
  }

  async run(): Promise<void> {
    await this.fixture.run(3000);
    for (let step = 0; step < STEPS; step++) {
      this.change();
      this.disturb();
      this.read();
      await this.fixture.run(STEP_MS);
    }
    this.cut = new Set();
    for (let step = 0; step < QUIET_MS / STEP_MS; step++) {
      this.read();
      await this.fixture.run(STEP_MS);
    }
  }

  /** Lists the rows in which a host differs from the table. */
  listWrong({replica}: PeerHost): string[] {
    const wrong: string[] = [];
    for (let key = 0; key < KEYS; key++) {
      const name = `s${key}`;
      const text = this.table.rows.get(name)?.text;
      if (replica.getText(name) !== text) {
        wrong.push(`${name}: ${replica.getText(name)} for ${text}`);
      }
    }
    return wrong;
  }

  private draw(count: number): number {
    return Math.floor(this.random.next() * count);
  }

  private change(): void {
    for (let change = this.draw(3); change > 0; change--) {
      const key = `s${this.draw(KEYS)}`;
      const isRemoved = this.random.next() < 0.3;
      this.table.put(key, isRemoved ? undefined : `state-${this.draw(3)}`);
    }
  }

  private disturb(): void {
    const drawn = this.random.next();
    if (drawn < 0.1) {
      this.fixture.start(this.draw(HOSTS));
    } else if (drawn < 0.15) {
      this.cut = new Set([`dc-${this.draw(CENTRES)}`]);
    } else if (drawn < 0.2) {
      this.cut = new Set();
    } else if (drawn < 0.25) {
      this.restartCentres();
    }
  }

  /** Restarts all hosts of the data centres whose aggregators read the table. */
  private restartCentres(): void {
    for (const [index, {self}] of this.fixture.hosts.entries()) {
      if (READING_CENTRES.includes(self.dataCentre)) {
        this.fixture.start(index);
      }
    }
  }

  /** Has the aggregators of two data centres read the table. */
  private read(): void {
    for (const dataCentre of READING_CENTRES) {
      const reader = this.fixture.getAggregator(dataCentre);
      const nowMs = this.fixture.clock.monotonicMs();
      const known = this.readings.get(reader);
      const reading = known ?? {sinceMs: nowMs, cursor: 0};
      this.readings.set(reader, reading);
      const isTrusted = nowMs - reading.sinceMs > TRUST_MS;
      this.readFor(reader, reading, known === undefined, isTrusted);
    }
  }

  private readFor(
    {replica}: PeerHost,
    reading: Reading,
    isFirst: boolean,
    isTrusted: boolean,
  ): void {
    const {version} = this.table;
    if (isFirst) {
      replica.addReading([...this.table.rows.values()], version, SOURCE);
    } else {
      const after = reading.cursor;
      const rows = this.table.listSince(after);
      replica.addChanges({rows, after, version}, SOURCE);
    }
    if (isTrusted) {
      replica.setComplete(version);
    }
    reading.cursor = version;
  }
}

describe('RowMessages under random faults', () => {
  for (let seed = 1; seed <= 12; seed++) {
    it(`every host finally has the rows of the table, seed ${seed}`, async () => {
      const play = new Simulation(seed);
      await play.run();
      const wrong = play.fixture.hosts
        .map(host => ({host: host.self.host, wrong: play.listWrong(host)}))
        .filter(entry => entry.wrong.length > 0);
      expect(wrong).to.deep.equal([]);
    }).timeout(60_000);
  }
});
