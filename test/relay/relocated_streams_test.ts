import {expect} from 'chai';
import {Result} from 'true-myth';
import {Framing} from '../../src/answer/index.js';
import {Repeat} from '../../src/catalog/index.js';
import {FleetState} from '../../src/fleet/index.js';
import {ExecutionStatus} from '../../src/errors/index.js';
import {
  CopyFailure,
  Exchange,
  ExchangeKind,
  ExchangeResult,
} from '../../src/relay/index.js';
import {
  createAnswer,
  createServer,
  formatEvents,
  RelayFixture,
} from './relay_fixture.js';

const VERSION = 'v2';
const STREAM = {streaming: true, repeat: Repeat.ONCE, maxAttempts: 1};

describe('a stream that is stopped for its relocation', () => {
  let fixture: RelayFixture;

  /**
   * Creates a relay whose first server closes its stream as soon as it is to be stopped,
   * with its marked end if it is complete.
   */
  function create(framing: Framing, isComplete = false): void {
    let sent = 0;
    const exchange: Exchange = async params => {
      sent++;
      return sent === 1
        ? createAnswer(
            200,
            readUntilStopped(
              params.server.id,
              isComplete || framing === Framing.CONNECTION,
            ),
            framing,
          )
        : createAnswer(200, formatEvents(3, 4));
    };
    fixture = new RelayFixture(exchange);
    for (const id of ['s1', 's2', 's3']) {
      fixture.fleet.register({...createServer(id), version: VERSION}, 'test');
    }
  }

  async function* readUntilStopped(
    server: string,
    hasMarkedEnd: boolean,
  ): AsyncGenerator<string> {
    yield* formatEvents(1, 2);
    const leaving = createServer(server, FleetState.DRAINING);
    fixture.fleet.register(
      {...leaving, version: VERSION, leavesMs: 1000},
      'test',
    );
    while (fixture.copies.every(copy => !copy.stops)) {
      await new Promise(resolve => setImmediate(resolve));
    }
    if (!hasMarkedEnd) {
      throw new Error('response ended before its body was complete');
    }
  }

  // Guards against ORDER: the close of a stream without a marked end, by which its server
  // stops it, counts as its end.
  it('continues from its copy though its end is not marked', async () => {
    create(Framing.CONNECTION);
    const sink = await fixture.serve(STREAM);
    expect(sink.body).to.equal(formatEvents(1, 4).join(''));
    expect(sink.ended).to.equal(true);
    expect(fixture.sent[1]?.lastEventId).to.equal('2');
  });

  // Guards against ORDER: a stopped stream without a copy is ended as complete.
  it('is broken off if no copy could be made and its end is not marked', async () => {
    create(Framing.CONNECTION);
    fixture.onCopy = ({stops}) => {
      if (stops) {
        fixture.copyResult = Result.err(CopyFailure.FAILED);
      }
    };
    const sink = await fixture.serve(STREAM);
    expect(sink.aborted).to.equal(true);
    expect(sink.ended).to.equal(false);
    expect(sink.body).to.equal(formatEvents(1, 2).join(''));
  });

  // Guards against a complete stream that is broken off because it ended first.
  it('is complete if it had ended before it was to be stopped', async () => {
    create(Framing.CONNECTION);
    fixture.onCopy = ({stops}) => {
      if (stops) {
        fixture.copyResult = Result.err(CopyFailure.NO_RUN);
      }
    };
    const sink = await fixture.serve(STREAM);
    expect(sink.ended).to.equal(true);
    expect(sink.body).to.equal(formatEvents(1, 2).join(''));
  });

  // Guards against a complete stream whose end is held back until its copy was made.
  it('ends at its marked end while it is being stopped', async () => {
    create(Framing.LENGTH, true);
    let finishCopy: (() => void) | undefined;
    fixture.waitForCopy = ({stops}) =>
      stops
        ? new Promise(resolve => {
            finishCopy = resolve;
          })
        : Promise.resolve();
    const sink = await fixture.serve(STREAM);
    expect(sink.ended).to.equal(true);
    expect(finishCopy).not.to.equal(undefined);
    finishCopy?.();
  });

  // Guards against roll-outs that are judged by the runs that hosts stop themselves.
  for (const framing of [Framing.CHUNKS, Framing.CONNECTION]) {
    it(`does not count against its version or server (${framing})`, async () => {
      create(framing);
      await fixture.serve(STREAM);
      const count = (end: string) =>
        fixture.metrics.getCount('version_runs', {
          service: 'desk',
          version: VERSION,
          end,
        });
      expect([count('bad'), count('neutral'), count('good')]).to.deep.equal([
        0, 1, 1,
      ]);
      expect(fixture.metrics.getCount('runs_lost', {ended: 'false'})).to.equal(
        0,
      );
    });
  }

  describe('before its first event', () => {
    /** Creates a relay whose first server makes events once the others are known to be left. */
    function createSlow(secondResult: ExchangeResult): void {
      let sent = 0;
      const exchange: Exchange = async params => {
        sent++;
        return sent === 1
          ? createAnswer(200, readSlowly(params.server.id), Framing.CHUNKS)
          : secondResult;
      };
      fixture = new RelayFixture(exchange);
      for (const id of ['s1', 's2', 's3']) {
        fixture.fleet.register({...createServer(id), version: VERSION}, 'test');
      }
    }

    async function* readSlowly(server: string): AsyncGenerator<string> {
      const leaving = createServer(server, FleetState.DRAINING);
      fixture.fleet.register(
        {...leaving, version: VERSION, leavesMs: 1000},
        'test',
      );
      const isDenied = () => fixture.metrics.getCount('relocations_denied') > 0;
      while (!isDenied() && fixture.copies.every(copy => !copy.stops)) {
        await new Promise(resolve => setImmediate(resolve));
      }
      if (!isDenied()) {
        throw new Error('response ended before its body was complete');
      }
      yield* formatEvents(1, 2);
    }

    // Guards against REFUSED: a stream that the host stops although no retry is left for its copy
    // is told that it was not run.
    it('goes on at its server if no retry is left', async () => {
      createSlow({kind: ExchangeKind.NOT_RUN, detail: 'full', full: true});
      fixture.budget = 0;
      const sink = await fixture.serve(STREAM);
      expect(fixture.copies.some(({stops}) => stops)).to.equal(false);
      expect(sink.ended).to.equal(true);
      expect(sink.body).to.equal(formatEvents(1, 2).join(''));
      expect(fixture.sent.length).to.equal(1);
    });

    // Guards against REFUSED: a server worked on the stream before the host stopped it.
    it('is not told that it was not run if no server takes its copy', async () => {
      createSlow({kind: ExchangeKind.NOT_RUN, detail: 'full', full: true});
      const sink = await fixture.serve(STREAM);
      expect(fixture.copies.some(({stops}) => stops)).to.equal(true);
      expect(sink.problem?.status).to.equal(502);
      expect(sink.problem?.ran).not.to.equal(ExecutionStatus.NOT_EXECUTED);
    });
  });
});
