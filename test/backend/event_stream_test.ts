import {expect} from 'chai';
import {IncompleteAnswer} from '../../src/answer/index.js';
import {readEventStream} from '../../src/backend/index.js';

describe('readEventStream', () => {
  const PIECE = 'x'.repeat(65_536);

  async function* write(pieces: Iterable<string>): AsyncGenerator<Uint8Array> {
    for (const piece of pieces) {
      yield Buffer.from(piece);
    }
  }

  async function list(pieces: Iterable<string>): Promise<string[]> {
    const data: string[] = [];
    for await (const text of readEventStream(write(pieces))) {
      data.push(text);
    }
    return data;
  }

  it('yields the data of each event, however the stream is split', async () => {
    const stream = 'data: a\n\n: ping\n\nid: 2\ndata: b\ndata: ü\n\ndata: end';
    for (let size = 1; size < stream.length; size++) {
      const pieces: string[] = [];
      for (let start = 0; start < stream.length; start += size) {
        pieces.push(stream.slice(start, start + size));
      }
      expect(await list(pieces)).to.deep.equal(['a', 'b\nü']);
    }
  });

  it('accepts lines that end with CRLF', async () => {
    expect(await list(['data: a\r\n\r\ndata: b\r', '\n\r\n'])).to.deep.equal([
      'a',
      'b',
    ]);
  });

  // Guards against a server in trouble whose event never ends.
  it('fails once an event is too long', async () => {
    let count = 0;
    function* writeWithoutEnd(): Generator<string> {
      yield 'data: ';
      for (; count < 1000; count++) {
        yield PIECE;
      }
    }
    const failure = await list(writeWithoutEnd()).catch(
      (error: unknown) => error,
    );
    expect(failure).to.be.instanceOf(IncompleteAnswer);
    expect(count).to.be.below(20);
  });
});
