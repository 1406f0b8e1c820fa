import {expect} from 'chai';
import {QueuedOutput} from '../../src/log/index.js';

describe('QueuedOutput', () => {
  it('drops lines while the reader does not read, and logs their number', () => {
    const written: string[] = [];
    let release: (() => void) | undefined;
    const output = new QueuedOutput((text, done) => {
      written.push(text);
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
    expect(written.join('')).to.contain('event=log_lines_dropped count=');
  });

  it('writes the rest of a line that was only partly written', async () => {
    const written: string[] = [];
    const output = new QueuedOutput((text, done) => {
      const part = text.slice(0, 3);
      written.push(part);
      setImmediate(() => done(null, part.length));
    });
    output.add('abcdef');
    while (written.join('') !== 'abcdef') {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  });

  it('writes the lines of one batch together, and at the latest in drain', async () => {
    const written: string[] = [];
    const output = new QueuedOutput((text, done) => {
      written.push(text);
      setImmediate(() => done(null, Buffer.byteLength(text)));
    }, 60_000);
    output.add('first\n');
    output.add('second\n');
    expect(written).to.deep.equal([]);
    await output.drain();
    expect(written).to.deep.equal(['first\nsecond\n']);
  });
});
