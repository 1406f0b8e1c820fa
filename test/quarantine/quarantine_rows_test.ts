import {expect} from 'chai';
import {Result} from 'true-myth';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {Quarantine, QuarantineRows} from '../../src/quarantine/index.js';
import {
  MemoryTableService,
  StepKind,
  TableFailureKind,
} from '../../src/table/index.js';
import {VirtualClock} from '../../src/time/index.js';

const CONTENT = 'c1';

describe('QuarantineRows', () => {
  let clock: VirtualClock;
  let table: MemoryTableService;

  beforeEach(() => {
    clock = new VirtualClock();
    table = new MemoryTableService();
  });

  function createHost(reachesOthers = true) {
    const log = new SilentLog();
    const state = {reachesOthers};
    const quarantine = new Quarantine({clock, log, metrics: new Metrics()});
    const rows = new QuarantineRows({
      clock,
      log,
      table,
      quarantine,
      reachesOthers: () => state.reachesOthers,
    });
    return {quarantine, rows, state};
  }

  function terminateInTurn(quarantine: Quarantine, ...servers: string[]): void {
    for (const server of servers) {
      quarantine.addTermination(CONTENT, server, quarantine.getLevel(CONTENT));
    }
  }

  async function countRows(): Promise<number> {
    return (await table.list('')).unwrapOr([]).length;
  }

  it('restores at a new host what terminated hosts knew', async () => {
    const first = createHost();
    terminateInTurn(first.quarantine, 's1', 's2@17', 's/3');
    await first.rows.step();
    const second = createHost();
    await second.rows.step();
    expect(second.quarantine.getRemainingBlockMs(CONTENT)).to.be.greaterThan(0);
  });

  it('writes no rows for a request that is not blocked', async () => {
    const host = createHost();
    terminateInTurn(host.quarantine, 's1', 's2');
    await host.rows.step();
    expect(await countRows()).to.equal(0);
  });

  it('combines the observations of hosts that cannot reach each other', async () => {
    const first = createHost(false);
    const second = createHost(false);
    terminateInTurn(first.quarantine, 's1', 's2');
    terminateInTurn(second.quarantine, 's3');
    await first.rows.step();
    await second.rows.step();
    await clock.advance(1000);
    await first.rows.step();
    await second.rows.step();
    for (const {quarantine} of [first, second]) {
      expect(quarantine.getRemainingBlockMs(CONTENT)).to.be.greaterThan(0);
    }
  });

  it('reads once more when the others are reachable again', async () => {
    const first = createHost();
    await first.rows.step();
    first.state.reachesOthers = false;
    await clock.advance(1000);
    await first.rows.step();
    const second = createHost();
    terminateInTurn(second.quarantine, 's1', 's2', 's3');
    await second.rows.step();
    first.state.reachesOthers = true;
    await clock.advance(1000);
    await first.rows.step();
    expect(first.quarantine.getRemainingBlockMs(CONTENT)).to.be.greaterThan(0);
  });

  it('removes rows that an answer has cleared', async () => {
    const {quarantine, rows} = createHost();
    terminateInTurn(quarantine, 's1', 's2', 's3');
    await rows.step();
    expect(await countRows()).to.equal(3);
    quarantine.addSuccess(CONTENT, 3);
    await rows.step();
    expect(await countRows()).to.equal(0);
  });

  it('removes expired rows and invalid rows', async () => {
    const {quarantine, rows} = createHost();
    terminateInTurn(quarantine, 's1', 's2', 's3');
    await rows.step();
    await table.transact([
      {kind: StepKind.PUT, key: 'quarantine/x', value: 'no record'},
    ]);
    await clock.advance(1_300_000);
    const late = createHost();
    await late.rows.step();
    expect(late.quarantine.hasSuspects()).to.equal(false);
    expect(await countRows()).to.equal(0);
  });

  it('retries rows that an unreachable table did not store', async () => {
    const host = createHost();
    terminateInTurn(host.quarantine, 's1', 's2', 's3');
    const {transact} = table;
    table.transact = async () =>
      Result.err({kind: TableFailureKind.UNREACHED, detail: 'away'});
    await host.rows.step();
    table.transact = transact;
    await host.rows.step();
    expect(await countRows()).to.equal(3);
  });

  // Guards against a quarantine that ends when all hosts are killed, since the table has lost
  // its rows.
  it('writes its rows again after the table was restored from a copy', async () => {
    const copy = table.takeCopy();
    const host = createHost();
    terminateInTurn(host.quarantine, 's1', 's2', 's3');
    await host.rows.step();
    table.restore(copy);
    await host.rows.step();
    expect(await countRows()).to.equal(3);
  });

  it('removes the rows that the copy still has but an answer has cleared', async () => {
    const host = createHost();
    terminateInTurn(host.quarantine, 's1', 's2', 's3');
    await host.rows.step();
    const copy = table.takeCopy();
    host.quarantine.addSuccess(CONTENT, 3);
    await host.rows.step();
    table.restore(copy);
    await host.rows.step();
    expect(await countRows()).to.equal(0);
  });
});
