import {expect} from 'chai';
import {ChunkPacer, PausableConnection} from '../../src/http/index.js';
import {VirtualClock} from '../../src/time/index.js';

const CHUNK_MS = 0.01;
const READ_CHUNKS = 10_000;
const READ_MS = READ_CHUNKS * CHUNK_MS;

/** Guards against clients whose chunks keep the event loop from all other work. */
describe('ChunkPacer', () => {
  let clock: VirtualClock;
  let pacer: ChunkPacer;
  let afterPoll: (() => void)[];

  beforeEach(() => {
    clock = new VirtualClock();
    afterPoll = [];
    pacer = new ChunkPacer({clock, afterPoll: call => afterPoll.push(call)});
  });

  class Connection implements PausableConnection {
    isPaused = false;
    readMs = 0;

    pauseReading(): void {
      this.isPaused = true;
    }

    resumeReading(): void {
      this.isPaused = false;
    }

    /** Parses the chunks of one read from the connection. */
    async read(chunks = READ_CHUNKS, bytes = 1): Promise<void> {
      for (let index = 0; index < chunks; index++) {
        pacer.addChunk(this, bytes);
        if (index % 64 === 0) {
          await clock.advance(CHUNK_MS * 64);
        }
      }
      this.readMs += chunks * CHUNK_MS;
      for (const call of afterPoll.splice(0)) {
        call();
      }
    }
  }

  it('leaves two thirds of the time to the rest, for one connection and for many', async () => {
    for (const count of [1, 5]) {
      const connections = Array.from({length: count}, () => new Connection());
      const startMs = clock.monotonicMs();
      const untilMs = startMs + 200 * READ_MS;
      while (clock.monotonicMs() < untilMs) {
        const next = connections.find(({isPaused}) => !isPaused);
        await (next === undefined ? clock.advance(10) : next.read());
      }
      const readMs = connections.reduce((sum, {readMs}) => sum + readMs, 0);
      const share = readMs / (clock.monotonicMs() - startMs);
      // The credit and the first reads come in addition.
      expect(share).to.be.below(1 / 3 + 0.06);
      for (const connection of connections) {
        expect(connection.readMs).to.be.above(0);
      }
    }
  });

  it('reads 100,000 chunks without a wait if little was read before', async () => {
    const connection = new Connection();
    const startMs = clock.monotonicMs();
    for (let read = 0; read < 4; read++) {
      await connection.read();
      // One turn of the event loop.
      await clock.advance(1);
      expect(connection.isPaused).to.equal(false);
    }
    expect(clock.monotonicMs() - startMs).to.be.below(5 * READ_MS);
  });

  it('does not pause connections with large chunks', async () => {
    const connection = new Connection();
    await connection.read(5000, 4096);
    expect(connection.isPaused).to.equal(false);
  });

  it('does not pause connections with few small chunks at a time', async () => {
    const connection = new Connection();
    for (let second = 0; second < 20; second++) {
      await connection.read(100);
      await clock.advance(1000);
    }
    expect(connection.isPaused).to.equal(false);
  });
});
