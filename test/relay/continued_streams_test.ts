import {expect} from 'chai';
import {Framing} from '../../src/answer/index.js';
import {Repeat, Route} from '../../src/catalog/index.js';
import {ExecutionStatus, ProblemKind} from '../../src/errors/index.js';
import {ConnectionOutcome} from '../../src/http/index.js';
import {
  Exchange,
  ExchangeParams,
  ExchangeResult,
} from '../../src/relay/index.js';
import {OriginSource} from '../../src/stream_versions/index.js';
import {
  answerInTurn,
  CollectedAnswer,
  createAnswer,
  createServer,
  disconnectAfter,
  formatEvents,
  lose,
  RelayFixture,
} from './relay_fixture.js';

const SERVICE = 'desk';

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

  describe('of a service whose servers have several versions', () => {
    /** Servers s1 and s2 with version v1, and s3 with v2. */
    function createFixture(...exchanges: Exchange[]): RelayFixture {
      const fixture = new RelayFixture(answerInTurn(...exchanges));
      for (const [id, version] of Object.entries(VERSIONS)) {
        fixture.fleet.register({...createServer(id), version}, 'test');
      }
      return fixture;
    }

    const VERSIONS = {s1: 'v1', s2: 'v1', s3: 'v2'};
    const continueAfter = async ({lastEventId}: ExchangeParams) =>
      createAnswer(200, formatEvents(Number(lastEventId) + 1, 6));

    function listVersions({sent}: RelayFixture): (string | undefined)[] {
      return sent.map(({server}) => server.version);
    }

    // Guards against ORDER: during the trial of a version, the second attempt goes back to
    // the version before.
    it('stays at the version on trial once its first event was relayed', async () => {
      const fixture = createFixture(disconnectAfter(1, 3), continueAfter);
      fixture.fleet.register({...createServer('s4'), version: 'v2'}, 'test');
      fixture.selectVersion = isFirst => (isFirst ? 'v2' : 'v1');
      const sink = await fixture.serve({...streaming, maxAttempts: 3});
      expect(listVersions(fixture)).to.eql(['v2', 'v2']);
      expect(sink.ended).to.equal(true);
    });

    it('may change its version before its first event', async () => {
      const fixture = createFixture(lose, async () =>
        createAnswer(200, formatEvents(1, 6)),
      );
      fixture.selectVersion = isFirst => (isFirst ? 'v2' : 'v1');
      const sink = await fixture.serve({...streaming, maxAttempts: 3});
      expect(listVersions(fixture)).to.eql(['v2', 'v1']);
      expect(sink.ended).to.equal(true);
    });

    // Guards against EXPOSURE: nothing more goes to a version that was rolled back.
    it('is broken off at once if its version was rolled back', async () => {
      const fixture = createFixture(disconnectAfter(1, 3), continueAfter);
      fixture.permitsVersion = () => false;
      const sink = await fixture.serve({...streaming, maxAttempts: 3});
      expect(fixture.sent).to.have.length(1);
      expect(sink.aborted).to.equal(true);
    });

    it('is broken off at once if no other server of its version is left', async () => {
      const fixture = createFixture(disconnectAfter(1, 3), continueAfter);
      fixture.selectVersion = () => 'v2';
      const sink = await fixture.serve({...streaming, maxAttempts: 3});
      expect(fixture.sent).to.have.length(1);
      expect(sink.aborted).to.equal(true);
    });

    // Guards against ORDER: the host that a stream is forwarded to chooses any version.
    it('is forwarded with its version, and broken off if that is not known', async () => {
      for (const version of ['v1', undefined]) {
        const fixture = createFixture(lose);
        fixture.connectionOutcome = ConnectionOutcome.NO_ANSWER;
        fixture.forward = async ({lastEventId}) => {
          const events =
            lastEventId === undefined
              ? disconnectAfter(1, 3)
              : async () => createAnswer(200, formatEvents(4, 6));
          const answer = await events(
            {} as ExchangeParams,
            new AbortController().signal,
          );
          return {...answer, version} as ExchangeResult;
        };
        await fixture.reachability.check(SERVICE, false);
        const sink = await fixture.serve({...streaming, maxAttempts: 3});
        const bound = fixture.forwarded.map(params => params.boundVersion);
        expect(bound).to.eql(
          version === undefined ? [undefined] : [undefined, version],
        );
        expect(sink.ended).to.equal(version !== undefined);
      }
    });
  });

  describe('that a caller takes up', () => {
    const split = [
      {service: 'other', weight: 1000},
      {service: SERVICE, weight: 0},
    ];

    async function takeUp(
      fixture: RelayFixture,
      overrides: Partial<Route> = {},
    ): Promise<CollectedAnswer> {
      const sink = new CollectedAnswer();
      const request = {
        ...fixture.createRequest({...streaming, ...overrides}, 2000),
        lastEventId: '3',
        startedBy: 'r0',
      };
      const {signal} = new AbortController();
      await fixture.relay.serve(request, sink, signal);
      return sink;
    }

    // Guards against a stream that goes on at another service of its route.
    it('goes to the service that began it where its route is split', async () => {
      const fixture = new RelayFixture(async () =>
        createAnswer(200, formatEvents(4, 6)),
      );
      fixture.findOrigin = () => ({
        source: OriginSource.KNOWN,
        origin: {service: SERVICE, version: ''},
      });
      const sink = await takeUp(fixture, {split});
      expect(sink.ended).to.equal(true);
      expect(fixture.sent).to.have.length(1);
    });

    // Guards against ROUTE: the configuration no longer leads to the service that began it.
    it('is refused as not run if its route has left that service', async () => {
      const fixture = new RelayFixture(lose);
      fixture.findOrigin = () => ({
        source: OriginSource.KNOWN,
        origin: {service: 'former', version: ''},
      });
      const {problem} = await takeUp(fixture);
      expect(problem?.kind).to.equal(ProblemKind.STREAM_VERSION_UNAVAILABLE);
      expect(problem?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
      expect(fixture.sent).to.have.length(0);
    });

    it('is known under both ids afterwards', async () => {
      const fixture = new RelayFixture(async () =>
        createAnswer(200, formatEvents(4, 6)),
      );
      await takeUp(fixture);
      expect(fixture.begunStreams.map(({id}) => id)).to.eql(['/r1', '/r0']);
    });
  });
});
