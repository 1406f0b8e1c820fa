import {connect, createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {Peers} from '../../src/peer/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {SystemClock} from '../../src/time/index.js';

const TIMEOUT_MS = 150;
const PIECE_BYTES = 65_536;
const PIECE_MS = 30;
const REPLY_BYTES = 1_000_000;

describe('a long frame of the previous release', () => {
  const clock = new SystemClock();
  const sockets: Socket[] = [];
  let link: Server;
  /** Bytes after which a connection stops. */
  let limitBytes: number;
  let remote: Peers;
  let local: Peers;

  beforeEach(async () => {
    limitBytes = Number.POSITIVE_INFINITY;
    remote = createPeers('remote', []);
    const port = await remote.listen('127.0.0.1', 0);
    link = createServer(client => void passSlowly(client, port));
    await new Promise<void>(resolve => link.listen(0, '127.0.0.1', resolve));
    local = createPeers('local', [
      `127.0.0.1:${(link.address() as AddressInfo).port}`,
    ]);
    void local.run(new AbortController().signal);
    while (!local.listConnected().includes('remote')) {
      await clock.sleep(5);
    }
  });

  afterEach(() => {
    local.stop();
    remote.stop();
    link.close();
    for (const socket of sockets) {
      socket.destroy();
    }
  });

  function createPeers(host: string, seeds: readonly string[]): Peers {
    return new Peers({
      connection: {
        self: {host, dataCentre: 'tac', incarnation: host},
        key: 'key',
        maxFrameBytes: 2 * REPLY_BYTES,
        idleTimeoutMs: 1000,
        handle: async request =>
          (request as {long?: boolean}).long === true
            ? 'x'.repeat(REPLY_BYTES)
            : {},
        clock,
        log: new SilentLog(),
      },
      random: new SeededRandom(1),
      heartbeatMs: 20,
      heartbeatTimeoutMs: TIMEOUT_MS,
      seeds,
      listCandidates: () => [],
      createHeartbeat: () => ({kind: 'heartbeat'}),
    });
  }

  /** Passes bytes to the client in pieces with pauses, until the limit. */
  async function passSlowly(client: Socket, port: number): Promise<void> {
    const target = connect(port, '127.0.0.1');
    sockets.push(client, target);
    client.on('error', () => target.destroy());
    target.on('error', () => client.destroy());
    client.pipe(target);
    let passedBytes = 0;
    for await (const chunk of target) {
      const bytes = chunk as Buffer;
      for (let start = 0; start < bytes.length; start += PIECE_BYTES) {
        const piece = bytes.subarray(start, start + PIECE_BYTES);
        passedBytes += piece.length;
        if (bytes.length > 1000) {
          await clock.sleep(PIECE_MS);
        }
        if (passedBytes > limitBytes) {
          return;
        }
        client.write(piece);
      }
    }
  }

  it('is received although it takes longer than the timeouts of requests and heartbeats', async () => {
    const startMs = clock.monotonicMs();
    const reply = await local.request('remote', {long: true}, TIMEOUT_MS);
    expect(reply.isOk).to.equal(true);
    expect(clock.monotonicMs() - startMs).to.be.greaterThan(2 * TIMEOUT_MS);
  });

  it('fails after the timeout if it stops midway', async () => {
    limitBytes = 6 * PIECE_BYTES;
    const startMs = clock.monotonicMs();
    const reply = await local.request('remote', {long: true}, TIMEOUT_MS);
    expect(reply.isErr).to.equal(true);
    expect(clock.monotonicMs() - startMs).to.be.lessThan(6 * TIMEOUT_MS);
  });
});
