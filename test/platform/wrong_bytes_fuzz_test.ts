import {expect} from 'chai';
import {SeededRandom} from '../../src/random/index.js';
import {KeptConnection} from './fakes/kept_connection.js';
import {
  createSpoiledAnswers,
  createWholeAnswers,
  WHOLE_STREAM,
} from './fakes/spoiled_answers.js';
import {
  AMPLE_RETRY_RATIO,
  KEY,
  RunningHost,
  TestSystem,
} from './fakes/test_system.js';
import {UncaughtErrors} from './fakes/uncaught_errors.js';

const SEED = Number(process.env['FUZZ_SEED'] ?? 20261204);
/** Duration in milliseconds; longer by hand. */
const DURATION_MS = Number(process.env['FUZZ_MS'] ?? 4000);
const SERVERS = 8;
/** Servers whose answers are whole, of a service of their own. */
const SOUND_SERVERS = 2;
const SOUND = 'sound';
const OTHER_KEY = 'k2';
const SPOILED_CALLERS = 12;
const WHOLE_CALLERS = 4;
const MAX_BYTE = 256;
/** Rows that writers other than servers and operators put, at random. */
const ROW_INTERVAL_MS = 50;
const TIMEOUT_MS = 20_000;

/**
 * Guards against bytes from outside with which an API of the process throws: servers spoil
 * answers, callers send broken requests, and the store has rows of any form. No error may reach
 * the process, and the requests beside these are all answered whole.
 */
describe(`a host with wrong bytes on all sides (FUZZ_SEED=${SEED})`, () => {
  const random = new SeededRandom(SEED);
  let system: TestSystem;
  let host: RunningHost;
  let errors: UncaughtErrors;
  let untilMs: number;
  let sent = 0;

  beforeEach(async () => {
    errors = new UncaughtErrors();
    system = new TestSystem();
    system.bootstrap = true;
    system.retryRatio = AMPLE_RETRY_RATIO;
    system.slots = 100;
    system.addServers(SERVERS, (_server, index) =>
      index < SOUND_SERVERS
        ? createWholeAnswers()
        : createSpoiledAnswers(random),
    );
    await system.start();
    for (let index = 0; index < SOUND_SERVERS; index++) {
      const address = system.addresses[index] ?? '';
      await system.register(`i-${index}`, address, 'ready', 'v1', SOUND);
    }
    system.putConfig({
      routes: [
        system.createRoute('/a/', {max_attempts: 4}),
        system.createRoute('/s/', {
          kind: 'streaming',
          resumable: true,
          max_attempts: 4,
        }),
        system.createRoute('/w/', {service: SOUND}),
        system.createRoute('/v/', {service: SOUND, kind: 'streaming'}),
      ],
      tenants: [
        {name: 'guild', api_keys: [KEY]},
        // Its requests count as the cause of ended connections.
        {name: 'other', api_keys: [OTHER_KEY]},
      ],
      services: [
        {name: 'ledger', max_connections: 100},
        {name: SOUND, max_connections: 100},
      ],
    });
    [host] = (await system.startHosts(['front-1'])) as [RunningHost];
    untilMs = performance.now() + DURATION_MS;
  });

  afterEach(async () => {
    await system.stop();
    errors.stop();
  });

  function isOver(): boolean {
    return performance.now() >= untilMs;
  }

  /** Sends requests whose answers servers spoil. */
  async function callSpoiled(): Promise<void> {
    while (!isOver()) {
      const path = random.next() < 0.7 ? '/s/x' : '/a/x';
      await system
        .call(host, path, {Credential: OTHER_KEY})
        .catch(() => undefined);
    }
  }

  /** Sends a request with a wrong byte behind a right one. */
  async function callBroken(): Promise<void> {
    while (!isOver()) {
      const connection = new KeptConnection(host.callers, {
        Host: 'desk.example',
        Credential: OTHER_KEY,
      });
      const request = connection.format('/w/x', `b${sent++}`, [
        `Deadline-Remaining: ${Math.floor(2000 * random.next())}`,
        'Last-Event-Id: 1',
      ]);
      const bytes = Buffer.from(request, 'latin1');
      const at = Math.floor(random.next() * bytes.length);
      bytes[at] = Math.floor(random.next() * MAX_BYTE);
      connection.write(connection.format('/w/x', `b${sent++}`));
      connection.socket.write(bytes);
      await new Promise(resolve => setTimeout(resolve, 20));
      connection.close();
    }
  }

  /** Puts rows that no server and no operator writes. */
  async function putRows(): Promise<void> {
    for (let number = 0; !isOver(); number++) {
      const byte = String.fromCharCode(Math.floor(random.next() * MAX_BYTE));
      const port = Math.floor(random.next() * 200_000);
      const address =
        random.next() < 0.5 ? `127.0.0.1:${port}` : `127.0.${byte}.1:80`;
      // Entries in this state are read and get no requests.
      await system.register(`x-${byte}`, address, 'draining');
      system.store.putText('servers', `y-${number % 8}`, `{"a${byte}":`);
      system.store.put('duties', `hosts/z${byte}`, {
        dataCentre: 'here',
        address,
        forwardingAddress: address,
      });
      await new Promise(resolve => setTimeout(resolve, ROW_INTERVAL_MS));
    }
  }

  async function callWhole(): Promise<number> {
    let count = 0;
    for (; !isOver(); count++) {
      const [path, body] =
        count % 2 === 0 ? ['/w/x', 'whole'] : ['/v/x', WHOLE_STREAM];
      const answer = await system.call(host, path ?? '', {
        'Request-Id': `w${sent++}`,
      });
      expect(answer).to.deep.include({status: 200, body, whole: true});
    }
    return count;
  }

  it('answers all other requests whole', async () => {
    const counts = Array.from({length: WHOLE_CALLERS}, callWhole);
    await Promise.all([
      ...Array.from({length: SPOILED_CALLERS}, callSpoiled),
      callBroken(),
      putRows(),
      ...counts,
    ]);
    expect(errors.list).to.deep.equal([]);
    const served = await Promise.all(counts);
    expect(Math.min(...served)).to.be.above(0);
  }).timeout(DURATION_MS + TIMEOUT_MS);
});
