import {expect} from 'chai';
import {GenerationFormat} from '../../src/backend/index.js';
import {PeerRequestHandler} from '../../src/daemon/peer_request_handler.js';
import {RemoteGenerationReader} from '../../src/daemon/remote_generation_reader.js';
import {
  Generation,
  GenerationEvent,
  GenerationStore,
} from '../../src/generation/index.js';
import {BookDirectory, getHostBook, KeyMint} from '../../src/journal/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Peers} from '../../src/peer/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {SystemClock} from '../../src/time/index.js';
import {StallingProxy} from '../peer/stalling_proxy.js';

const HEARTBEAT_MS = 40;
const HEARTBEAT_TIMEOUT_MS = 120;
const RECONNECT_MS = 1000;
const TOKENS = 40;
const TOKEN_MS = 20;
const INCARNATION = 'remote1';

describe('RemoteGenerationReader', () => {
  const clock = new SystemClock();
  const log = new SilentLog();
  const id = new KeyMint('remote', INCARNATION).mint();
  let store: GenerationStore;
  let remote: Peers;
  let local: Peers;
  let proxy: StallingProxy;
  let stop: AbortController;

  beforeEach(async () => {
    store = new GenerationStore({clock, retentionMs: 60_000, unreadMs: 60_000});
    remote = createPeers('remote', []);
    proxy = new StallingProxy(await remote.listen('127.0.0.1', 0));
    local = createPeers('local', [`127.0.0.1:${await proxy.listen()}`]);
    stop = new AbortController();
    void local.run(stop.signal);
    while (!local.listConnected().includes('remote')) {
      await clock.sleep(5);
    }
  });

  afterEach(() => {
    stop.abort();
    local.stop();
    remote.stop();
    proxy.stop();
  });

  function createPeers(host: string, seeds: readonly string[]): Peers {
    const handler = new PeerRequestHandler({
      clock,
      log,
      store,
      heartbeats: {acknowledge: () => ({})},
    } as unknown as ConstructorParameters<typeof PeerRequestHandler>[0]);
    return new Peers({
      connection: {
        self: {host, dataCentre: 'tac', incarnation: `${host}1`},
        key: 'shared-key',
        maxFrameBytes: 100_000,
        idleTimeoutMs: 2 * (HEARTBEAT_MS + HEARTBEAT_TIMEOUT_MS),
        handle: async (request, from, sendPart, signal) =>
          (request as {kind: string}).kind === 'beat'
            ? {}
            : handler.handle(request, from, sendPart, signal),
        clock,
        log,
      },
      random: new SeededRandom(1),
      heartbeatMs: HEARTBEAT_MS,
      heartbeatTimeoutMs: HEARTBEAT_TIMEOUT_MS,
      seeds,
      listCandidates: () => [],
      createHeartbeat: () => ({kind: 'beat'}),
    });
  }

  /** Generates the tokens of a generation that the other host runs. */
  async function generate(): Promise<void> {
    const generation = new Generation(
      {
        id,
        customer: 'guild',
        deployment: 'dossier',
        adapter: '',
        format: GenerationFormat.TEXT,
        body: {prompt: 'a prompt'},
        urgency: 0,
        deadlineMs: clock.monotonicMs() + 60_000,
      },
      [],
      clock.monotonicMs(),
    );
    store.add(generation);
    for (let token = 0; token < TOKENS; token++) {
      await clock.sleep(TOKEN_MS);
      generation.addToken(`t${token}`);
    }
    generation.finish('stop');
  }

  /** Reads the generation on this host; `onToken` gets the number of each token. */
  async function read(
    onToken: (token: number) => void,
  ): Promise<GenerationEvent[]> {
    const directory = new BookDirectory('local');
    const book = getHostBook('remote', INCARNATION);
    directory.add({book, host: 'remote', fence: 0});
    const reader = new RemoteGenerationReader(
      'local',
      local,
      directory,
      clock,
      RECONNECT_MS,
    );
    const found = await reader.read(id, 'guild', 0, stop.signal);
    const events: GenerationEvent[] = [];
    for await (const event of found?.events ?? []) {
      events.push(event);
      if (event.kind === 'token') {
        onToken(event.position);
      }
    }
    return events;
  }

  // Guards against a stream that breaks off because the connection to the host that runs
  // the generation was closed for silence, though another one stands at once.
  it('goes on where it was on a new connection when one falls silent', async () => {
    void generate();
    const events = await read(token => {
      if (token === 10) {
        proxy.stallConnections();
      }
    });
    expect(events.at(-1)?.kind).to.equal('finished');
    const texts = events.flatMap(event =>
      event.kind === 'token' ? [event.text] : [],
    );
    expect(texts).to.eql(Array.from({length: TOKENS}, (_, n) => `t${n}`));
  });

  it('fails if the other host stays unreachable', async () => {
    void generate();
    const events = await read(token => {
      if (token === 10) {
        proxy.stop();
      }
    });
    expect(events.at(-1)?.kind).to.equal('failed');
  });
});
