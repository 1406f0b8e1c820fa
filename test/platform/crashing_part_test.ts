import {expect} from 'chai';
import {formatHead, FakeServer, Script} from './fakes/fake_server.js';
import {KEY, RunningHost, TestSystem} from './fakes/test_system.js';

/** A request of the load. */
interface SentRequest {
  readonly atMs: number;
  readonly hasBadPart: boolean;
  status: number;
}

/**
 * Guards against BUDGET and LOST: one part of a prompt crashes each server that begins to answer a
 * request with it. No two of these requests are alike, and sound ones share their customer, route
 * and other parts. Hosts could blame one request or one sender only: crashes went on, and up to
 * four of five sound requests were refused with the sender.
 */
describe('a part of a prompt that crashes servers', () => {
  const SERVERS = 14;
  const SOUND_PER_S = 60;
  const BAD_PER_S = 20;
  /** Rate in the first seconds, in which the part reaches many servers at once. */
  const FIRST_BAD_PER_S = 40;
  const FIRST_BAD_MS = 3000;
  /** Time of sound requests alone, and of both, in milliseconds. */
  const BEFORE_MS = 2500;
  const BOTH_MS = 10_000;
  /** Time within which all hosts must know, as the users' page states it. */
  const CONTACT_MS = 3000;
  /** Crashes from which the bounds of the users' page count. */
  const CRASHES = 5;
  /** Requests with the part that may reach servers later than that. */
  const MAX_FURTHER = 3;
  /** Share of the sound requests, against those before, that must be served. */
  const MIN_SOUND_SHARE = 0.5;
  const RESTART_MS = 1000;
  const CRASH_DELAY_MS = 5;
  const BAD_PART = 'bad0';
  let system: TestSystem;
  let hosts: RunningHost[];
  let crashMs: number[];
  let arrivalMs: number[];
  let requests: SentRequest[];

  beforeEach(async () => {
    system = new TestSystem();
    system.bootstrap = true;
    crashMs = [];
    arrivalMs = [];
    requests = [];
    system.addServers(SERVERS, createScript);
    await system.start();
    system.putConfig({
      routes: [
        system.createRoute('/a/', {target_latency_ms: 500}),
        system.createRoute('/s/', {
          kind: 'streaming',
          resumable: true,
          target_latency_ms: 500,
        }),
      ],
    });
    hosts = await system.startHosts(['front-1', 'front-2', 'front-3']);
  });

  afterEach(() => system.stop());

  /** Creates a script that crashes the server on the part, and starts it under a new id. */
  function createScript(_server: FakeServer, index: number): Script {
    return (socket, request) => {
      const parts = request.headers.get('prompt-prefix') ?? '';
      const head = formatHead(request, 200, ['Content-Length: 9']);
      if (!parts.includes(`${BAD_PART}:`)) {
        socket.write(`${head}id: 1\na\n\n`);
        return;
      }
      arrivalMs.push(performance.now());
      socket.write(head);
      setTimeout(() => {
        crashMs.push(performance.now());
        system.crashServer(index, RESTART_MS);
      }, CRASH_DELAY_MS);
    };
  }

  async function send(path: string, parts: string): Promise<void> {
    const host = hosts[requests.length % hosts.length];
    const sent: SentRequest = {
      atMs: performance.now(),
      hasBadPart: parts.includes(`${BAD_PART}:`),
      status: 0,
    };
    requests.push(sent);
    if (host === undefined) {
      throw new Error('no host');
    }
    const headers = {
      Credential: KEY,
      Model: 'm',
      'Token-Count': '100,10',
      'Prompt-Prefix': parts,
    };
    const body = `no two alike ${requests.length}`;
    const answer = await system
      .call(host, path, headers, body)
      .catch(() => undefined);
    sent.status = answer?.whole === true ? answer.status : 0;
  }

  /** Sends both kinds of request at their rates. */
  async function play(
    path: string,
    createParts: (own: string, shared?: string) => string,
  ): Promise<void> {
    const startMs = performance.now();
    const pending: Promise<void>[] = [];
    let soundCount = 0;
    let badCount = 0;
    for (;;) {
      const elapsedMs = performance.now() - startMs;
      if (elapsedMs > BEFORE_MS + BOTH_MS) {
        break;
      }
      while (soundCount < (elapsedMs / 1000) * SOUND_PER_S) {
        pending.push(send(path, createParts(`5${soundCount++}`)));
      }
      const badMs = Math.max(0, elapsedMs - BEFORE_MS);
      const firstMs = Math.min(badMs, FIRST_BAD_MS);
      const due =
        (firstMs * FIRST_BAD_PER_S + (badMs - firstMs) * BAD_PER_S) / 1000;
      while (badCount < due) {
        pending.push(send(path, createParts(`b${badCount++}`, BAD_PART)));
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    await Promise.all(pending);
  }

  function check(): void {
    // The last one, if there are fewer.
    const fifthMs = crashMs[CRASHES - 1] ?? crashMs.at(-1) ?? 0;
    const further = arrivalMs.filter(atMs => atMs > fifthMs + CONTACT_MS);
    expect(further.length).to.be.at.most(MAX_FURTHER);
    const sound = requests.filter(({hasBadPart}) => !hasBadPart);
    const firstMs = crashMs[0] ?? Number.POSITIVE_INFINITY;
    const before = sound.filter(({atMs}) => atMs < firstMs - 100);
    const after = sound.filter(({atMs}) => atMs > fifthMs + 2 * CONTACT_MS);
    expect(after.length).to.be.greaterThan(20);
    const share = getServedShare(after) / getServedShare(before);
    expect(share).to.be.at.least(MIN_SOUND_SHARE);
  }

  function getServedShare(sent: readonly SentRequest[]): number {
    return sent.filter(({status}) => status === 200).length / sent.length;
  }

  it('in the middle of others is kept away, and sound requests are served', async () => {
    await play('/a/x', (own, shared = 'c2') => `c1:40,${shared}:30,${own}:30`);
    check();
  }).timeout(40_000);

  it('at the beginning of streams is kept away, and sound ones are served', async () => {
    await play('/s/x', (own, shared = 'c1') => `${shared}:40,c2:30,${own}:30`);
    check();
  }).timeout(40_000);

  it('in any of several mixes of parts is kept away, and sound requests are served', async () => {
    let turn = 0;
    await play('/a/x', (own, shared) => {
      const mix = turn++ % 6;
      const parts = [`d${mix}`, `d${(mix + 1) % 6}`, `d${(mix + 2) % 6}`];
      if (shared !== undefined) {
        parts[mix % parts.length] = shared;
      }
      return [...parts, own].map(part => `${part}:30`).join(',');
    });
    check();
  }).timeout(40_000);
});
