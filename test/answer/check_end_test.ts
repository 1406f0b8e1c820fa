import {expect} from 'chai';
import {
  checkBodyEnd,
  checkStreamEnd,
  Framing,
  getFraming,
} from '../../src/answer/index.js';

describe('the end of an answer', () => {
  // Guards against MIXED: a body that ends before its marked end counts as complete.
  it('is that of a complete body only if the marked end has arrived', () => {
    for (const framing of Object.values(Framing)) {
      expect(checkBodyEnd({framing, hasMarkedEnd: true})).to.equal(undefined);
      const reason = framing === Framing.CONNECTION ? 'reset' : 'truncated';
      const failure = checkBodyEnd({framing, hasMarkedEnd: false});
      expect(failure?.reason).to.equal(reason);
    }
  });

  // Guards against ORDER: a stream that ends inside an event counts as complete.
  it('is not that of a complete stream inside an event, whatever the framing', () => {
    for (const framing of Object.values(Framing)) {
      const end = {
        framing,
        eventCount: 2,
        mayBeStopped: false,
      };
      expect(checkStreamEnd({...end, isInsideEvent: false})).to.equal(
        undefined,
      );
      const failure = checkStreamEnd({...end, isInsideEvent: true});
      expect(failure?.reason).to.equal('inside-event');
      expect(failure?.message).to.equal('stream ended inside event 3');
    }
  });

  // Guards against ORDER: a server that fails before its first event sends an empty stream,
  // also where it was to continue one.
  it('is that of an empty stream only if it is marked', () => {
    const end = {isInsideEvent: false, eventCount: 0, mayBeStopped: false};
    const closed = checkStreamEnd({...end, framing: Framing.CONNECTION});
    expect(closed?.reason).to.equal('no-event');
    const marked = checkStreamEnd({...end, framing: Framing.CHUNKS});
    expect(marked).to.equal(undefined);
  });

  // Guards against ORDER: the close by which a server stops a run counts as its end.
  it('is that of a stopped stream only if it is marked', () => {
    const end = {isInsideEvent: false, eventCount: 2};
    for (const framing of Object.values(Framing)) {
      const failure = checkStreamEnd({...end, framing, mayBeStopped: true});
      const reason = framing === Framing.CONNECTION ? 'stopped' : undefined;
      expect(failure?.reason).to.equal(reason);
    }
  });

  it('is marked by chunks, a length, or nothing but the connection', () => {
    const head = {
      method: 'GET',
      status: 200,
      contentLength: undefined,
      transferEncoding: undefined,
    };
    expect(getFraming(head)).to.equal(Framing.CONNECTION);
    expect(getFraming({...head, contentLength: '3'})).to.equal(Framing.LENGTH);
    const coded = (transferEncoding: string) =>
      getFraming({...head, transferEncoding});
    expect(coded('chunked')).to.equal(Framing.CHUNKS);
    expect(coded('gzip, Chunked ')).to.equal(Framing.CHUNKS);
    // Any other coding lasts until the end of the connection (RFC 9112, section 6.3).
    expect(coded('identity')).to.equal(Framing.CONNECTION);
    expect(getFraming({...head, method: 'HEAD'})).to.equal(Framing.NONE);
    expect(getFraming({...head, status: 204})).to.equal(Framing.NONE);
  });
});
