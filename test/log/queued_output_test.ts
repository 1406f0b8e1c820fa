import {expect} from 'chai';
import {QueuedOutput} from '../../src/log/index.js';

describe('QueuedOutput', () => {
  it('drops lines with a count while its reader does not read', () => {
    const taken: string[] = [];
    let release: (() => void) | undefined;
    const output = new QueuedOutput((text, done) => {
      taken.push(text);
      release = () => done(null, Buffer.byteLength(text));
    });
    output.add('first\n');
    const line = `${'x'.repeat(1000)}\n`;
    for (let count = 0; count < 1200; count++) {
      output.add(line);
    }
    expect(output.countDropped()).to.be.greaterThan(100);
    release?.();
    release?.();
    output.add('last\n');
    expect(taken.join('')).to.contain('event=log_lines_dropped count=');
  });

  it('writes the rest of a line that was taken in part', async () => {
    const taken: string[] = [];
    const output = new QueuedOutput((text, done) => {
      const part = text.slice(0, 3);
      taken.push(part);
      setImmediate(() => done(null, part.length));
    });
    output.add('abcdef');
    while (taken.join('') !== 'abcdef') {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  });

  it('writes lines that come within a moment at once, and all before the end', async () => {
    const taken: string[] = [];
    const output = new QueuedOutput((text, done) => {
      taken.push(text);
      setImmediate(() => done(null, Buffer.byteLength(text)));
    }, 60_000);
    output.add('first\n');
    output.add('second\n');
    expect(taken).to.deep.equal([]);
    await output.drain();
    expect(taken).to.deep.equal(['first\nsecond\n']);
  });
});
