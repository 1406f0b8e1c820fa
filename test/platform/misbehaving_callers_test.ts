import {expect} from 'chai';
import {
  Client,
  Crowd,
  formatBytesChunk,
  formatRequestHead,
  formatTinyChunks,
} from './fakes/crowd.js';
import {answerWith, formatHead, Script} from './fakes/fake_server.js';
import {HostProcess} from './fakes/host_process.js';
import {TestSystem} from './fakes/test_system.js';

/** Limits of the operator in all deployments, in bytes. */
const BODY_BYTES = 4_194_304;
const HEADER_BYTES = 16_384;
/** The smallest machine of all deployments. */
const SMALLEST_MACHINE = {memoryMb: 160, descriptors: 4100};
const FEW_DESCRIPTORS = {memoryMb: 160, descriptors: 600};
const LARGE_CHUNK = formatBytesChunk(Buffer.alloc(65_536, 'x'));
const LARGE_CHUNKS = BODY_BYTES / 65_536;
const TINY_CHUNKS = formatTinyChunks(10_000);
const TINY_CHUNK_BATCHES = 10;
const CHUNKED = 'Transfer-Encoding: chunked';
const LAST_CHUNK = '0\r\n\r\n';
/** Callers retry a few times, each time on a new connection. */
const ATTEMPTS = 5;
/** Time without a read after which a host counts as not reading, in milliseconds. */
const READ_PAUSE_MS = 500;
const TEST_TIMEOUT_MS = 90_000;

function writeAll(pieces: readonly (string | Uint8Array)[]): Client {
  return socket => {
    for (const piece of pieces) {
      socket.write(piece);
    }
  };
}

/** A body in large chunks that lacks its last ones. */
const largeChunksUnfinished = writeAll([
  formatRequestHead('c', [CHUNKED]),
  ...Array<Buffer>(LARGE_CHUNKS - 1).fill(LARGE_CHUNK),
]);

const tinyChunksUnfinished = writeAll([
  formatRequestHead('c', [CHUNKED]),
  ...Array<string>(TINY_CHUNK_BATCHES).fill(TINY_CHUNKS),
]);

const lengthUnfinished = writeAll([
  formatRequestHead('c', [`Content-Length: ${BODY_BYTES}`]),
  Buffer.alloc(BODY_BYTES - 1, 'x'),
]);

const wholeBody = writeAll([
  formatRequestHead('c', [`Content-Length: ${BODY_BYTES}`]),
  Buffer.alloc(BODY_BYTES, 'x'),
]);

const wholeBodyInTinyChunks: Client = socket => {
  socket.write(formatRequestHead('c', [CHUNKED]));
  let left = BODY_BYTES / 10_000;
  const write = () => {
    while (left > 0 && socket.writable) {
      left--;
      if (!socket.write(TINY_CHUNKS)) {
        socket.once('drain', write);
        return;
      }
    }
    socket.write(LAST_CHUNK);
  };
  write();
};

/** Requests behind each other, without waiting for an answer. */
function requestsBehindEachOther(count: number, bodyBytes: number): Client {
  const head = formatRequestHead('c', [`Content-Length: ${bodyBytes}`]);
  const request = Buffer.from(head + 'x'.repeat(bodyBytes));
  return writeAll(Array<Buffer>(count).fill(request));
}

const unfinishedTrailers = writeAll([
  formatRequestHead('c', [CHUNKED]),
  `${formatTinyChunks(1)}0\r\n`,
  `X-Trailer: ${'t'.repeat(15_000)}\r\n`,
]);

const unfinishedHead = writeAll([
  formatRequestHead('c', [`X-Header: ${'h'.repeat(60_000)}`]).slice(0, -4),
]);

/** Answers ordinary callers, and leaves the clients of a crowd without an answer. */
const answerOnlyOrdinary: Script = (socket, request) => {
  if (request.headers.get('request-id') === 'ordinary') {
    answerWith('whole')(socket, request);
  }
};

/**
 * Guards against clients that end a host by its memory, or take its descriptors, so that other
 * callers get no answer. Each crowd is held open while an ordinary caller asks.
 */
describe('a host process whose callers do not behave', function () {
  this.timeout(TEST_TIMEOUT_MS);
  let system: TestSystem;
  let crowd: Crowd | undefined;

  beforeEach(async () => {
    system = new TestSystem();
    system.bootstrap = true;
    system.slots = 1000;
    system.addServers(2, () => answerWith('whole'));
    await system.start();
    system.putConfig({
      services: [{name: 'ledger', max_connections: 1000}],
      limits: {
        header_bytes: HEADER_BYTES,
        body_bytes: BODY_BYTES,
        header_timeout_ms: 5000,
        idle_timeout_ms: 5000,
      },
    });
  });

  afterEach(async () => {
    crowd?.stop();
    await system.stop();
  });

  async function isServed(host: HostProcess): Promise<boolean> {
    const answer = await system
      .get(host.callers, '/a/ordinary', {
        Host: 'desk.example',
        'Request-Id': 'ordinary',
        Credential: 'k1',
        'Deadline-Remaining': '2000',
      })
      .catch(() => undefined);
    return answer?.status === 200 && answer.whole;
  }

  /** Asks as an ordinary caller does, which retries. */
  async function expectService(host: HostProcess): Promise<void> {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      host.throwIfEnded();
      if (await isServed(host)) {
        return;
      }
    }
    expect.fail('an ordinary request was not answered');
  }

  function expectWithinLimits(host: HostProcess): void {
    host.throwIfEnded();
    expect(host.readPeakBytes(), 'resident bytes').to.be.at.most(
      host.getMemoryBytes(),
    );
    expect(host.countDescriptors(), 'descriptors').to.be.at.most(
      host.limits.descriptors,
    );
  }

  /** Waits until the host has read all that has arrived, or reads no more of it. */
  async function waitUntilRead(host: HostProcess): Promise<void> {
    let unread = host.countUnreadBytes();
    while (unread > 0) {
      await new Promise(resolve => setTimeout(resolve, READ_PAUSE_MS));
      host.throwIfEnded();
      const left = host.countUnreadBytes();
      if (left === unread) {
        return;
      }
      unread = left;
    }
  }

  /** Opens a crowd; returns once all that it sends is read or its connections are closed. */
  async function openCrowd(
    host: HostProcess,
    count: number,
    client: Client,
    reads = true,
  ): Promise<Crowd> {
    const opened = new Crowd(host.callers);
    crowd = opened;
    opened.open(count, client, reads);
    await system.waitFor(() => {
      host.throwIfEnded();
      return opened.hasSentAll();
    });
    await waitUntilRead(host);
    return opened;
  }

  interface Case {
    readonly name: string;
    readonly count: number;
    readonly client: Client;
    readonly reads?: boolean;
    /** Answers of the servers; by default, each is answered at once. */
    readonly script?: Script;
  }

  const cases: readonly Case[] = [
    {
      name: 'unfinished bodies in chunks of one byte',
      count: 20,
      client: tinyChunksUnfinished,
    },
    {
      name: 'unfinished bodies in large chunks',
      count: 100,
      client: largeChunksUnfinished,
    },
    {
      name: 'unfinished bodies with a length',
      count: 100,
      client: lengthUnfinished,
    },
    {
      name: 'a whole body of the largest size in chunks of one byte',
      count: 1,
      client: wholeBodyInTinyChunks,
    },
    {
      name: 'whole bodies of the largest size at once',
      count: 150,
      client: wholeBody,
    },
    {
      name: 'requests behind each other whose server is slow',
      count: 300,
      client: requestsBehindEachOther(61, 60_000),
      script: answerOnlyOrdinary,
    },
    {
      name: 'small requests behind each other whose answers are never read',
      count: 300,
      client: requestsBehindEachOther(60, 10),
      reads: false,
      script: answerWith('a'.repeat(50_000)),
    },
    {
      name: 'unfinished trailers',
      count: 2000,
      client: unfinishedTrailers,
    },
    {
      name: 'unfinished heads',
      count: 2000,
      client: unfinishedHead,
    },
  ];
  for (const {name, count, client, reads, script} of cases) {
    it(`keeps to its limits beside ${count} clients with ${name}`, async () => {
      for (const server of system.servers) {
        server.script = script ?? server.script;
      }
      const host = await system.startProcess('front-1', SMALLEST_MACHINE);
      await openCrowd(host, count, client, reads);
      await expectService(host);
      expectWithinLimits(host);
    });
  }

  it('answers callers beside 900 unfinished bodies that come again, with 600 descriptors', async () => {
    const host = await system.startProcess('front-1', FEW_DESCRIPTORS);
    const returning = new Crowd(host.callers);
    crowd = returning;
    returning.openAgain(
      900,
      writeAll([formatRequestHead('c', [CHUNKED]), formatTinyChunks(1)]),
    );
    await system.waitFor(() => {
      host.throwIfEnded();
      return returning.opened > 2000;
    });
    await expectService(host);
    expectWithinLimits(host);
  });

  // Guards against bounds that a client inside the limits of the operator meets.
  const calm: Readonly<Record<string, readonly (string | Buffer)[]>> = {
    'a body of the largest size in large chunks': [
      formatRequestHead('c', [CHUNKED]),
      ...Array<Buffer>(LARGE_CHUNKS).fill(LARGE_CHUNK),
      LAST_CHUNK,
    ],
    'a body of the largest size with a length': [
      formatRequestHead('c', [`Content-Length: ${BODY_BYTES}`]),
      Buffer.alloc(BODY_BYTES, 'x'),
    ],
    'a body of 100,000 chunks of one byte': [
      formatRequestHead('c', [CHUNKED]),
      ...Array<string>(TINY_CHUNK_BATCHES).fill(TINY_CHUNKS),
      LAST_CHUNK,
    ],
  };
  for (const [name, pieces] of Object.entries(calm)) {
    it(`serves ${name} in calm`, async () => {
      const lengths: number[] = [];
      for (const server of system.servers) {
        server.script = (socket, request) => {
          lengths.push(request.body.length);
          socket.write(`${formatHead(request, 200, ['Content-Length: 0'])}`);
        };
      }
      const host = await system.startProcess('front-1', SMALLEST_MACHINE);
      let received = '';
      const single = new Crowd(host.callers);
      crowd = single;
      single.open(1, socket => {
        socket.on('data', bytes => (received += String(bytes)));
        writeAll(pieces)(socket);
      });
      await system.waitFor(() => {
        host.throwIfEnded();
        return received.includes('\r\n\r\n') || single.closed > 0;
      });
      expect(received.split('\r\n')[0]).to.match(/^HTTP\/1.1 200/);
      const sent = name.includes('one byte') ? 100_000 : BODY_BYTES;
      expect(lengths).to.deep.equal([sent]);
      expectWithinLimits(host);
    });
  }
});
