import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {got} from 'got';
import {RunningHost, TrialSystem} from '../../src/trial/index.js';
import {
  Client,
  Crowd,
  formatBytesChunk,
  formatTinyChunks,
} from '../platform/fakes/crowd.js';
import {applyRecords, CALLER_KEY, getHost, service} from './system_fixture.js';

const MEMORY_MB = 160;
const BYTES_PER_MIB = 1_048_576;
const BYTES_PER_KIB = 1024;
const CHUNK = formatBytesChunk(Buffer.alloc(16_384, 'x'));
const CHUNKS = 63;
const TINY_CHUNKS = formatTinyChunks(10_000);
const TINY_CHUNK_BATCHES = 10;
const ATTEMPTS = 5;
const TEST_TIMEOUT_MS = 60_000;
/** Time without a write after which the host counts as not reading, in milliseconds. */
const SEND_PAUSE_MS = 500;

/** Guards against clients, with and without a key, that end a host by its memory. */
describe('a host of the own interface whose callers do not behave', function () {
  this.timeout(TEST_TIMEOUT_MS);
  let system: TrialSystem;
  let host: RunningHost;
  let crowd: Crowd | undefined;

  beforeEach(async () => {
    system = new TrialSystem({
      hosts: [{name: 'tac-1', dataCentre: 'tac'}],
      servers: [service('bids-1', 'tac')],
      settings: {host: [`memory_mb = ${MEMORY_MB}`]},
    });
    await system.start();
    await applyRecords(system);
    host = getHost(system, 0);
  });

  afterEach(async () => {
    crowd?.stop();
    await system.stop();
  });

  function createClient(
    path: string,
    key: string | undefined,
    chunks: readonly (string | Buffer)[],
  ): Client {
    const head = [
      `POST ${path} HTTP/1.1`,
      'Host: tac-1',
      ...(key === undefined ? [] : [`Authorization: Bearer ${key}`]),
      'Transfer-Encoding: chunked',
      '',
      '',
    ].join('\r\n');
    return socket => {
      socket.write(head);
      for (const chunk of chunks) {
        socket.write(chunk);
      }
    };
  }

  function readPeakBytes(): number {
    const pid = host.process.getPid();
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * BYTES_PER_KIB;
  }

  /** Opens a crowd; returns when the host has taken what it sends, or takes no more of it. */
  async function open(url: string, count: number, client: Client) {
    const opened = new Crowd(url.replace('http://', ''));
    crowd = opened;
    opened.open(count, client);
    let left = Number.POSITIVE_INFINITY;
    while (!opened.hasSentAll() && opened.countUnsentBytes() !== left) {
      left = opened.countUnsentBytes();
      await new Promise(resolve => setTimeout(resolve, SEND_PAUSE_MS));
    }
    await new Promise(resolve => setTimeout(resolve, SEND_PAUSE_MS));
  }

  async function isServed(): Promise<boolean> {
    const answer = await got(`${host.callersUrl}/services/bids/ordinary`, {
      headers: {authorization: `Bearer ${CALLER_KEY}`},
      retry: {limit: 0},
      throwHttpErrors: false,
    }).catch(() => undefined);
    return answer?.statusCode === 200;
  }

  async function expectService(): Promise<void> {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      if (await isServed()) {
        expect(readPeakBytes(), 'resident bytes').to.be.at.most(
          MEMORY_MB * BYTES_PER_MIB,
        );
        return;
      }
    }
    expect.fail('an ordinary request was not answered');
  }

  const tiny = Array<string>(TINY_CHUNK_BATCHES).fill(TINY_CHUNKS);
  const large = Array<Buffer>(CHUNKS).fill(CHUNK);
  const callersPath = '/services/bids/x';

  it('keeps to its memory beside 20 callers without a key that send chunks of one byte', async () => {
    await open(host.callersUrl, 20, createClient(callersPath, undefined, tiny));
    await expectService();
  });

  it('keeps to its memory beside 300 callers without a key that send large chunks', async () => {
    await open(
      host.callersUrl,
      300,
      createClient(callersPath, undefined, large),
    );
    await expectService();
  });

  it('keeps to its memory beside 20 callers with a key that send chunks of one byte', async () => {
    await open(
      host.callersUrl,
      20,
      createClient(callersPath, CALLER_KEY, tiny),
    );
    await expectService();
  });

  it('keeps to its memory beside 300 callers with a key that send large chunks', async () => {
    await open(
      host.callersUrl,
      300,
      createClient(callersPath, CALLER_KEY, large),
    );
    await expectService();
  });

  it('keeps to its memory beside 300 clients without a key at the address of operators', async () => {
    await open(
      host.operatorsUrl,
      300,
      createClient('/unknown', undefined, large),
    );
    await expectService();
  });
});
