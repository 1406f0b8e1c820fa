import {expect} from 'chai';
import {LimitedLines, Log, LogFields} from '../../src/log/index.js';
import {VirtualClock} from '../../src/time/index.js';

/** Guards against a flood of lines that costs a host more than the clients that cause it. */
describe('LimitedLines', () => {
  let clock: VirtualClock;
  let written: [string, LogFields | undefined][];
  let lines: LimitedLines;

  beforeEach(() => {
    clock = new VirtualClock();
    written = [];
    const write = (event: string, fields?: LogFields) =>
      void written.push([event, fields]);
    const log: Log = {info: write, warn: write, error: write};
    lines = new LimitedLines(clock, log);
  });

  it('logs each event while there are few', async () => {
    for (let second = 0; second < 3; second++) {
      for (let index = 0; index < 50; index++) {
        lines.info('refused', {request: String(index)});
      }
      await clock.advance(1001);
    }
    expect(written.length).to.equal(150);
  });

  it('counts what it leaves out, by event', async () => {
    for (let index = 0; index < 1000; index++) {
      lines.info('refused', {request: String(index)});
    }
    lines.info('ignored', {reason: 'closing'});
    await clock.advance(1001);
    expect(written.length).to.equal(52);
    expect(written.at(-1)).to.deep.equal([
      'lines_left_out',
      {of: 'refused', count: 950},
    ]);
  });

  it('states the count at the end of the process', () => {
    for (let index = 0; index < 60; index++) {
      lines.info('refused', {});
    }
    lines.flush();
    expect(written.at(-1)?.[1]).to.deep.equal({of: 'refused', count: 10});
  });
});
