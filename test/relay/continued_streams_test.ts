import {expect} from 'chai';
import {Framing} from '../../src/answer/index.js';
import {Repeat} from '../../src/catalog/index.js';
import {
  answerInTurn,
  createAnswer,
  disconnectAfter,
  formatEvents,
  RelayFixture,
} from './relay_fixture.js';

describe('a stream that another server continues', () => {
  const streaming = {streaming: true, repeat: Repeat.RESUME};

  // Guards against ORDER: events come twice if a server ignores Last-Event-Id.
  it('is not continued by a server that starts over', async () => {
    const fixture = new RelayFixture(
      answerInTurn(
        disconnectAfter(1, 3),
        async () => createAnswer(200, formatEvents(1, 6)),
        async () => createAnswer(200, formatEvents(4, 6)),
      ),
    );
    const sink = await fixture.serve({...streaming, maxAttempts: 3});
    expect(sink.body).to.equal(formatEvents(1, 6).join(''));
    expect(sink.ended).to.equal(true);
    expect(fixture.sent.length).to.equal(3);
  });

  // Guards against ORDER: an answer that consists of no events is joined with a stream.
  it('is not continued by an answer of another content type', async () => {
    const fixture = new RelayFixture(
      answerInTurn(disconnectAfter(1, 3), async () => ({
        ...createAnswer(200, ['{"object":"completion"}']),
        headers: [['Content-Type', 'application/json']],
      })),
    );
    const sink = await fixture.serve(streaming);
    expect(sink.body).to.equal(formatEvents(1, 3).join(''));
    expect(sink.aborted).to.equal(true);
  });

  // Guards against ORDER: events come twice if the position in the stream is not known.
  it('is broken off after an event with an empty id', async () => {
    const fixture = new RelayFixture(async () =>
      createAnswer(
        200,
        (function* () {
          yield 'id: 1\ndata: x\n\nid:\ndata: y\n\n';
          throw new Error('reset');
        })(),
      ),
    );
    const sink = await fixture.serve(streaming);
    expect(sink.body).to.equal('id: 1\ndata: x\n\nid:\ndata: y\n\n');
    expect(sink.aborted).to.equal(true);
    expect(fixture.sent).to.have.length(1);
  });

  // Guards against ORDER: a server that fails before it continues a stream seems to have
  // no more events. Only a marked end tells that it has none.
  it('is complete if the server that continues it marks the end without an event', async () => {
    for (const framing of [Framing.CHUNKS, Framing.CONNECTION]) {
      const fixture = new RelayFixture(
        answerInTurn(disconnectAfter(1, 3), async () =>
          createAnswer(200, [], framing),
        ),
      );
      const sink = await fixture.serve(streaming);
      expect(sink.body).to.equal(formatEvents(1, 3).join(''));
      expect(sink.ended).to.equal(framing === Framing.CHUNKS);
      expect(sink.aborted).to.equal(framing === Framing.CONNECTION);
    }
  });
});
