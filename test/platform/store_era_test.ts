import {expect} from 'chai';
import {Log, LogFields, SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {StoreEra} from '../../platform/store_era.js';

describe('StoreEra', () => {
  let lines: LogFields[];
  let era: StoreEra;

  beforeEach(() => {
    lines = [];
    const log: Log = Object.assign(new SilentLog(), {
      warn: (event: string, members: LogFields = {}) =>
        lines.push({event, ...members}),
    });
    era = new StoreEra({log, metrics: new Metrics()});
  });

  function read(text: string | undefined, version?: number): number {
    const headers = {'store-era': text};
    const body = version === undefined ? {} : {row_version: version};
    return era.read({status: 200, headers, body}, '/rows-get?table=t');
  }

  it('is not known before the first answer, and 0 until one states another', () => {
    expect(era.get()).to.equal(undefined);
    expect(read(undefined)).to.equal(0);
    expect(era.get()).to.equal(0);
    expect(read('3')).to.equal(3);
    expect(era.get()).to.equal(3);
  });

  it('logs a restoration once, with the versions before and after', () => {
    read('1', 84);
    read('1', 83);
    read('2', 70);
    read('2', 71);
    expect(lines).to.deep.equal([
      {
        event: 'store_restored',
        era: 2,
        era_before: 1,
        version: 70,
        version_before: 84,
        path: '/rows-get',
      },
    ]);
  });

  it('does not go back with a late answer, which keeps its own era', () => {
    read('2', 70);
    expect(read('1', 84)).to.equal(1);
    expect(era.get()).to.equal(2);
    expect(lines).to.deep.equal([]);
  });

  it('takes an answer without a usable era as one of the latest', () => {
    read('2');
    for (const text of [undefined, '', '-1', '1.5', 'x', '9'.repeat(20)]) {
      expect(read(text)).to.equal(2);
    }
    expect(era.get()).to.equal(2);
  });
});
