import {expect} from 'chai';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {
  Quarantine,
  SenderRuns,
  TerminatedServers,
  WatchedContent,
  WatchedParts,
  WatchedSender,
} from '../../src/quarantine/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVICE = 'desk';
const SENDER = {caller: 'guild', route: 'r'};

/** What one host knows of requests that terminate servers. */
class Host {
  readonly quarantine: Quarantine;
  readonly terminatedServers: TerminatedServers;
  readonly senderRuns: SenderRuns;
  private sent = 0;

  constructor(clock: VirtualClock) {
    const log = new SilentLog();
    this.quarantine = new Quarantine({clock, log, metrics: new Metrics()});
    this.terminatedServers = new TerminatedServers(clock, async () => true);
    this.senderRuns = new SenderRuns(clock);
  }

  /** Begins a run of a request whose prompt has parts; no two are alike. */
  begin(
    parts: readonly string[],
    body = `body ${this.sent++}`,
  ): WatchedContent {
    const content = new WatchedContent(
      this,
      () => ({
        method: 'POST',
        path: '/x',
        caller: SENDER.caller,
        body: Buffer.from(body),
      }),
      new WatchedSender(this, SENDER),
      new WatchedParts(
        this.quarantine,
        SERVICE,
        [...parts, 'own'].map(id => ({id})),
      ),
    );
    content.beginRun();
    return content;
  }

  answer(parts: readonly string[]): void {
    const run = this.begin(parts);
    run.addAnswer();
    run.endRun();
  }

  /** Loses runs with their server. */
  lose(server: string, runs: readonly WatchedContent[]): void {
    for (const run of runs) {
      run.addTermination(`10.0.0.${server}:1#i-${server}`);
      run.endRun();
    }
  }

  isBlocked(parts: readonly string[]): boolean {
    return this.begin(parts).getRemainingBlockMs() > 0;
  }

  isSenderBlocked(): boolean {
    return this.begin([]).getSenderRemainingBlockMs() > 0;
  }
}

describe('parts of prompts under which servers terminate', () => {
  let clock: VirtualClock;
  let host: Host;
  let other: Host;

  beforeEach(() => {
    clock = new VirtualClock();
    host = new Host(clock);
    other = new Host(clock);
  });

  function exchange(): void {
    const own = host.quarantine.listSince(0).suspects;
    host.quarantine.merge(other.quarantine.listSince(0).suspects);
    other.quarantine.merge(own);
  }

  /** Loses a bad request with a sound one on each of some servers, at both hosts in turn. */
  function crash(
    count: number,
    createParts: (turn: number) => readonly string[],
    bystander: readonly string[] = [],
  ): void {
    for (let turn = 0; turn < count; turn++) {
      const at = turn % 2 === 0 ? host : other;
      const runs = [at.begin(createParts(turn)), at.begin(bystander)];
      at.lose(String(turn), runs);
      exchange();
    }
  }

  // Guards against bystanders: all that ran at a crashed server was blamed.
  it('are blamed in place of the requests and the sender that they are in', () => {
    const body = 'asked again after each loss';
    for (let turn = 0; turn < 5; turn++) {
      const bystanders = turn < 3 ? [host.begin(['a'], body)] : [];
      host.lose(String(turn), [host.begin(['bad']), ...bystanders]);
    }
    expect(host.isBlocked(['x', 'bad', 'y'])).to.equal(true);
    expect(host.begin(['a'], body).getRemainingBlockMs()).to.equal(0);
    expect(host.isSenderBlocked()).to.equal(false);
  });

  // Guards against a block of sound requests: a part that many requests have is lost as often
  // as the bad one.
  it('are not blamed if servers complete answers with them, at whichever host', () => {
    other.answer(['common']);
    crash(5, () => ['common', 'bad'], ['common']);
    for (const at of [host, other]) {
      expect(at.isBlocked(['common', 'bad'])).to.equal(true);
      expect(at.isBlocked(['common'])).to.equal(false);
    }
  });

  // Guards against crashes without end: with two bad parts, neither is in all crashes.
  it('are blamed each if several terminate servers', () => {
    crash(8, turn => [turn % 4 < 2 ? 'bad' : 'worse']);
    for (const at of [host, other]) {
      expect(at.isBlocked(['bad', 'a'])).to.equal(true);
      expect(at.isBlocked(['a', 'worse'])).to.equal(true);
    }
  });

  // Guards against a block of sound requests: a part that only ever came with the bad one.
  it('are told apart by the next answer if they were always lost together', () => {
    crash(5, () => ['always', 'bad']);
    for (const at of [host, other]) {
      expect(at.isBlocked(['always', 'x', 'bad'])).to.equal(true);
      expect(at.isBlocked(['always'])).to.equal(false);
    }
    other.answer(['always']);
    exchange();
    for (const at of [host, other]) {
      expect(at.isBlocked(['bad'])).to.equal(true);
      expect(at.isBlocked(['always'])).to.equal(false);
    }
  });

  it('are not blamed for one request that terminates servers by itself', () => {
    for (let turn = 0; turn < 4; turn++) {
      const run = host.begin(['part'], 'crashes');
      host.lose(String(turn), [run]);
    }
    expect(host.begin(['part'], 'crashes').getRemainingBlockMs()).not.to.equal(
      0,
    );
    expect(host.isBlocked(['part'])).to.equal(false);
  });

  it('are not blamed for servers that fail together', () => {
    const runs = [...Array(10).keys()].map(() => host.begin(['rare']));
    for (const [server, run] of runs.entries()) {
      host.lose(String(server), [run]);
    }
    expect(host.isBlocked(['rare'])).to.equal(false);
  });

  it('may be the last one without being watched', () => {
    for (let turn = 0; turn < 6; turn++) {
      const run = new WatchedParts(host.quarantine, SERVICE, [{id: 'bad'}]);
      run.addTermination(`10.0.0.${turn}:1#i-${turn}`);
    }
    expect(host.quarantine.hasSuspects()).to.equal(false);
  });

  // Guards against a block that outlives its cause: the part was mended, or wrongly blamed.
  it('are released as soon as a server completes an answer with them', () => {
    crash(5, () => ['bad']);
    const probe = other.begin(['bad']);
    probe.addAnswer();
    exchange();
    for (const at of [host, other]) {
      expect(at.isBlocked(['bad'])).to.equal(false);
    }
  });

  it('keep no more than a bounded number of suspects', () => {
    const many = [...Array(10_000).keys()].map(number => `p${number}`);
    for (let turn = 0; turn < 5; turn++) {
      host.lose(String(turn), [host.begin([...many].reverse())]);
    }
    expect(host.quarantine.listSince(0).suspects.length).to.be.at.most(200);
  });

  it('are found and nothing else, whatever the mix of parts', () => {
    for (let seed = 0; seed < 200; seed++) {
      checkMix(seed);
    }
  });

  /** Sends sound and bad requests with parts at random; one sound in two is answered. */
  function checkMix(seed: number): void {
    const random = new SeededRandom(seed);
    host = new Host(clock);
    other = new Host(clock);
    const draw = (): string => `p${Math.floor(8 * random.next())}`;
    const answered = new Set<string>();
    for (let turn = 0; turn < 40; turn++) {
      const at = random.next() < 0.5 ? host : other;
      const sound = [draw(), draw()];
      if (random.next() < 0.5) {
        at.answer(sound);
        sound.forEach(part => answered.add(part));
      }
      const bad = [draw(), 'bad', draw()];
      if (!at.isBlocked(bad)) {
        at.lose(String(turn), [at.begin(bad), at.begin(sound)]);
      }
      exchange();
    }
    expect(host.isBlocked(['bad']), `seed ${seed}`).to.equal(true);
    for (const part of answered) {
      expect(host.isBlocked([part]), `seed ${seed}: ${part}`).to.equal(false);
    }
  }
});
