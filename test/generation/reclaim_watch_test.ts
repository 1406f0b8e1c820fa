import {expect} from 'chai';
import {Result} from 'true-myth';
import {GenerationFormat, ModelEngine} from '../../src/backend/index.js';
import {ConfigurationStore, Server} from '../../src/configuration/index.js';
import {
  AnswerLengths,
  Generation,
  GenerationRunner,
  ReclaimWatch,
  RunningGenerations,
} from '../../src/generation/index.js';
import {SilentLog} from '../../src/log/index.js';
import {RoutingDecision, ServerDirectory} from '../../src/routing/index.js';
import {VirtualClock} from '../../src/time/index.js';

const LEAVING_SERVER = 'server-0';
const MAX_TOKENS = 1000;

// Guards against a generation that is stopped for a server that leaves though no other one
// can continue it: it would have gone on until the end of the notice.
describe('ReclaimWatch', () => {
  let clock: VirtualClock;
  let running: RunningGenerations;
  let remainingMs: number;
  let moved: string[];

  beforeEach(() => {
    clock = new VirtualClock();
    running = new RunningGenerations();
    remainingMs = 5000;
    moved = [];
  });

  function createWatch(importSlots: number): ReclaimWatch {
    const log = new SilentLog();
    const engine = {
      exportCache: async () => Result.ok({handle: 'h', tokens: 1}),
      importCache: async () => Result.ok(undefined),
    } as unknown as ModelEngine;
    const createEngine = () => engine;
    const createService = () => {
      throw new Error('unexpected service: all servers run engines');
    };
    const directory = new ServerDirectory(
      {createEngine, createService},
      clock,
      'tac-hall',
      () => 1,
    );
    directory.setServers(
      [LEAVING_SERVER, 'server-1'].map((name): Server => ({
        name,
        kind: 'engine',
        service: '',
        dataCentre: 'tac-hall',
        zone: '',
        machineClass: '',
        address: `${name}:1`,
        checksFence: false,
        drained: false,
      })),
    );
    return new ReclaimWatch({
      clock,
      log,
      configuration: new ConfigurationStore(log),
      directory,
      running,
      lengths: new AnswerLengths(),
      runner: {choose} as unknown as GenerationRunner,
      getRemainingMs: name =>
        name === LEAVING_SERVER ? remainingMs : undefined,
      transferRate: 10_000,
      importSlots,
    });
  }

  /** Only the deployment "shared" has another server. */
  function choose({request}: Generation): RoutingDecision {
    return request.deployment === 'shared'
      ? {
          chosen: {server: 'server-1', firstTokenMs: 1, queueMs: 0},
          runnersUp: [],
          reason: 'test',
        }
      : {runnersUp: [], reason: 'no-server'};
  }

  function start(deployment: string): void {
    const generation = new Generation(
      {
        id: deployment,
        customer: 'guild',
        deployment,
        adapter: '',
        format: GenerationFormat.TEXT,
        body: {prompt: 'a prompt', max_tokens: MAX_TOKENS},
        urgency: 0,
        deadlineMs: 60_000,
      },
      [],
      clock.monotonicMs(),
    );
    const handle = running.add(generation, LEAVING_SERVER);
    handle.moved.addEventListener('abort', () => moved.push(deployment));
  }

  for (const [what, importSlots] of [
    ['with export', 1],
    ['without export', 0],
  ] as const) {
    it(`moves only generations that another server can continue, ${what}`, async () => {
      start('single');
      start('shared');
      await createWatch(importSlots).checkServers();
      await clock.advance(100);
      expect(moved).to.eql(['shared']);
    });
  }

  it('moves no other one when the notice is nearly over', async () => {
    const watch = createWatch(1);
    await watch.checkServers();
    start('single');
    start('shared');
    remainingMs = 1000;
    await watch.checkServers();
    expect(moved).to.eql(['shared']);
  });
});
