import {expect} from 'chai';
import fc from 'fast-check';
import {EventSplitter, IncompleteAnswer} from '../../src/answer/index.js';

describe('EventSplitter', () => {
  it('returns an event only when it is complete', () => {
    const splitter = new EventSplitter();
    const first = splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    expect(first.bytes.toString()).to.equal('id: 1\ndata: a\n\n');
    expect(first.lastId).to.equal('1');
    const second = splitter.add(Buffer.from('ta: b\n\n'));
    expect(second.bytes.toString()).to.equal('id: 2\ndata: b\n\n');
    expect(second.lastId).to.equal('2');
  });

  it('accepts line feeds with and without carriage returns', () => {
    const splitter = new EventSplitter();
    const {bytes, lastId} = splitter.add(
      Buffer.from('id: 7\r\ndata: a\r\n\r\nid: 8'),
    );
    expect(bytes.toString()).to.equal('id: 7\r\ndata: a\r\n\r\n');
    expect(lastId).to.equal('7');
  });

  it('returns every byte once, in complete events, however the stream is split into chunks', () => {
    fc.assert(
      fc.property(
        fc.array(fc.string({maxLength: 20}), {minLength: 1, maxLength: 8}),
        fc.array(fc.integer({min: 1, max: 15}), {minLength: 1, maxLength: 40}),
        (texts, chunkLengths) => {
          const events = texts.map(
            (text, index) =>
              `id: ${index}\ndata: ${text.replaceAll(/[\r\n]/g, ' ')}\n\n`,
          );
          const all = Buffer.from(events.join(''));
          const splitter = new EventSplitter();
          const returned: Buffer[] = [];
          let lastId: string | undefined;
          let offset = 0;
          for (let chunk = 0; offset < all.length; chunk++) {
            const length = chunkLengths[chunk % chunkLengths.length] ?? 1;
            const split = splitter.add(all.subarray(offset, offset + length));
            offset += length;
            returned.push(split.bytes);
            lastId = split.lastId ?? lastId;
            if (split.bytes.length > 0) {
              expect(split.bytes.toString().endsWith('\n\n')).to.equal(true);
            }
          }
          expect(Buffer.concat(returned).equals(all)).to.equal(true);
          expect(lastId).to.equal(String(events.length - 1));
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });

  // Guards against ORDER: a stream that is cut inside an event, with line ends other than
  // LF, counts as complete, or a complete one as cut.
  it('tells whether a stream is cut inside an event, for all line ends', () => {
    // After a CRLF, a CR at the end of the bytes may be half of another one.
    const lineEnds = fc.constantFrom(['\n', '\r\n'], ['\n'], ['\r']);
    const line = fc.constantFrom(
      'id: 7',
      'data: a',
      'data:',
      'event: x',
      'v: 2',
    );
    const stream = lineEnds.chain(ends => {
      const lineEnd = fc.constantFrom(...ends);
      const event = fc.record({
        lines: fc.array(fc.tuple(line, lineEnd), {minLength: 1, maxLength: 3}),
        blank: lineEnd,
      });
      return fc.array(event, {minLength: 1, maxLength: 4});
    });
    fc.assert(
      fc.property(
        stream,
        fc.constantFrom('', '\n', '\r\n', ': ping\n', 'retry: 10\n', '  '),
        fc.array(fc.integer({min: 1, max: 9}), {minLength: 1, maxLength: 9}),
        (events, tail, sizes) => {
          const splitter = new EventSplitter();
          let relayed = '';
          const add = (text: string) => {
            for (let offset = 0, count = 0; offset < text.length; count++) {
              const size = sizes[count % sizes.length] ?? 1;
              const piece = text.slice(offset, offset + size);
              relayed += splitter.add(Buffer.from(piece)).bytes.toString();
              offset += size;
            }
          };
          let all = '';
          for (const {lines, blank} of events) {
            const fields = lines.map(pair => pair.join('')).join('');
            add(fields.slice(0, -1));
            expect(splitter.isInsideEvent(), 'inside a line').to.equal(true);
            add(fields.slice(-1));
            expect(splitter.isInsideEvent(), 'after a line').to.equal(true);
            // A CR and an LF that follow each other are one line end.
            const separator =
              fields.endsWith('\r') && blank === '\n' ? '\n\n' : blank;
            add(separator);
            all += fields + separator;
            expect(splitter.isInsideEvent(), 'after an event').to.equal(false);
          }
          add(tail);
          expect(splitter.isInsideEvent(), 'after the tail').to.equal(false);
          expect(splitter.countEvents()).to.equal(events.length);
          expect(relayed + splitter.takeRest().toString()).to.equal(all + tail);
        },
      ),
      {seed: 1, numRuns: 400},
    );
  });

  it('reads the ids of events that end with CR, and after a byte order mark', () => {
    const splitter = new EventSplitter();
    const marked = splitter.add(Buffer.from('\ufeffid:1\r\r'));
    expect(marked.lastId).to.equal('1');
    const {bytes, lastId} = splitter.add(
      Buffer.from('id: 2\rdata: a\r\rid: 3'),
    );
    expect(bytes.toString()).to.equal('id: 2\rdata: a\r\r');
    expect(lastId).to.equal('2');
  });

  it('takes neither a part of a comment nor a field of an unknown name for an end', () => {
    for (const text of [
      ': pi',
      'weight-versions: 2\n',
      'id: 3\n',
      'retry: 1',
    ]) {
      const splitter = new EventSplitter();
      splitter.add(Buffer.from(`data: a\n\n${text}`));
      expect(splitter.isInsideEvent(), text).to.equal(true);
    }
  });

  // Guards against an id that cannot be sent to a server and is the one to continue after.
  describe('with an id that cannot stand in a header', () => {
    const WRONG = 'id: 2\u0016\ndata: b\n\n';

    it('returns the event with the next one that has an id', () => {
      const splitter = new EventSplitter();
      const first = splitter.add(Buffer.from(`id: 1\ndata: a\n\n${WRONG}`));
      expect(first.bytes.toString()).to.equal('id: 1\ndata: a\n\n');
      expect(first.lastId).to.equal('1');
      const comment = splitter.add(Buffer.from(': ping\n\n'));
      expect(comment.bytes.length).to.equal(0);
      const second = splitter.add(Buffer.from('id: 3\ndata: c\n\n'));
      expect(second.bytes.toString()).to.equal(
        `${WRONG}: ping\n\nid: 3\ndata: c\n\n`,
      );
      expect(second).to.include({firstId: '3', lastId: '3'});
      expect(splitter.countUnusableIds()).to.equal(1);
    });

    it('has it in the rest of a stream that ends', () => {
      const splitter = new EventSplitter();
      expect(splitter.add(Buffer.from(WRONG)).bytes.length).to.equal(0);
      expect(splitter.isInsideEvent()).to.equal(false);
      expect(splitter.takeRest().toString()).to.equal(WRONG);
    });

    it('does not know the position after two in a row, until a usable one', () => {
      const splitter = new EventSplitter();
      splitter.add(Buffer.from('id: 1\ndata: a\n\n'));
      const both = splitter.add(Buffer.from(WRONG + WRONG));
      expect(both.bytes.toString()).to.equal(WRONG + WRONG);
      expect(both.lastId).to.equal('');
      const third = splitter.add(Buffer.from(WRONG));
      expect(third.bytes.toString()).to.equal(WRONG);
      const last = splitter.add(Buffer.from('id: 9\ndata: z\n\n'));
      expect(last.lastId).to.equal('9');
    });
  });

  describe('with a long event', () => {
    const MAX_EVENT_BYTES = 1_048_576;

    /** Creates a whole event of a length in bytes. */
    function createEvent(length: number): Buffer {
      const start = 'id: 7\ndata: ';
      return Buffer.from(
        `${start}${'x'.repeat(length - start.length - 2)}\n\n`,
      );
    }

    function addInPieces(
      splitter: EventSplitter,
      bytes: Buffer,
      pieceBytes: number,
    ): Buffer[] {
      const returned: Buffer[] = [];
      for (let offset = 0; offset < bytes.length; offset += pieceBytes) {
        const piece = bytes.subarray(offset, offset + pieceBytes);
        returned.push(splitter.add(piece).bytes);
      }
      return returned;
    }

    // Guards against a host that a server in trouble fills with an event that never ends.
    for (const pieceBytes of [1000, 65_536, 2_000_000]) {
      it(`accepts 1 MiB and no more, in pieces of ${pieceBytes} bytes`, () => {
        const longest = createEvent(MAX_EVENT_BYTES);
        const returned = addInPieces(new EventSplitter(), longest, pieceBytes);
        expect(Buffer.concat(returned).equals(longest)).to.equal(true);
        const tooLong = createEvent(MAX_EVENT_BYTES + 1);
        expect(() => addInPieces(new EventSplitter(), tooLong, pieceBytes))
          .to.throw(IncompleteAnswer)
          .with.property('reason', 'event-too-long');
      });
    }

    // Guards against bytes without any event that are relayed to a caller until the deadline.
    for (const text of ['\n', '\r\n', ': ping\n\n']) {
      it(`accepts no more without any event: ${JSON.stringify(text)}`, () => {
        const length = 2.1 * MAX_EVENT_BYTES;
        const bytes = Buffer.from(text.repeat(length / text.length));
        expect(() => addInPieces(new EventSplitter(), bytes, 60_000))
          .to.throw(IncompleteAnswer)
          .with.property('reason', 'event-too-long');
      });
    }

    it('counts comments anew after each event', () => {
      const splitter = new EventSplitter();
      const comments = ': ping\n\n'.repeat(MAX_EVENT_BYTES / 16);
      const bytes = Buffer.from(`${comments}data: a\n\n`.repeat(4));
      const returned = addInPieces(splitter, bytes, 60_000);
      expect(Buffer.concat(returned).equals(bytes)).to.equal(true);
      expect(splitter.countEvents()).to.equal(4);
    });

    it('counts each event alone', () => {
      const splitter = new EventSplitter();
      const events = Buffer.concat(
        Array.from({length: 4}, () => createEvent(MAX_EVENT_BYTES / 2)),
      );
      const returned = addInPieces(splitter, events, 60_000);
      expect(Buffer.concat(returned).equals(events)).to.equal(true);
    });

    // Guards against a cost that grows with the square of the length, which blocks the event loop.
    for (const form of ['one line', 'many lines'] as const) {
      it(`takes time in proportion to its length: ${form}`, () => {
        const measureMs = (length: number) => {
          const bytes = createEvent(length);
          for (let end = 100; form === 'many lines' && end < length - 100;) {
            bytes[end] = 0x0a;
            end += 100;
          }
          const times = Array.from({length: 5}, () => {
            const startMs = performance.now();
            addInPieces(new EventSplitter(), bytes, 128);
            return performance.now() - startMs;
          });
          return Math.min(...times);
        };
        const growth = 8;
        const shortMs = measureMs(MAX_EVENT_BYTES / growth);
        const longMs = measureMs(MAX_EVENT_BYTES);
        // The square of the length would give 64 times.
        expect(longMs / shortMs).to.be.below(3 * growth);
      });
    }
  });
});
