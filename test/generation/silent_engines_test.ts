import {expect} from 'chai';
import {
  DeliveryState,
  GenerationAttempt,
  GenerationFormat,
  ModelEngine,
  ServerFailure,
  Token,
} from '../../src/backend/index.js';
import {Server} from '../../src/configuration/index.js';
import {
  AnswerLengths,
  checkToken,
  Generation,
  GenerationEvent,
  GenerationRunner,
  RunningGenerations,
} from '../../src/generation/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {
  chooseServer,
  RetryBudget,
  ServerDirectory,
} from '../../src/routing/index.js';
import {
  DEPLOYMENT,
  TerminatingServers,
} from '../quarantine/terminating_servers.js';

const TOKENS = 40;
const TOKEN_MS = 25;
const TOKEN_TIMEOUT_MS = 1000;
const FIRST_TOKEN_TIMEOUT_MS = 2000;
const DEADLINE_MS = 20_000;

describe('GenerationRunner', () => {
  let servers: TerminatingServers;
  let directory: ServerDirectory;
  /** Number of engines; those that follow in the configuration state no load. */
  let engineCount: number;
  /** Number of engines that send nothing from `silentFromMs` to `silentUntilMs`. */
  let silentCount: number;
  let silentFromMs: number;
  let silentUntilMs: number;
  /** Engines that have received the generation, in order. */
  let started: string[];
  let maxRetries: number;
  /** Whether the other engines refuse connections. */
  let othersRefuse: boolean;
  /** When the engines report their load again. */
  let reportMs: number;
  let retries: number;

  beforeEach(() => {
    servers = new TerminatingServers('engine');
    engineCount = 10;
    silentCount = 10;
    silentFromMs = 500;
    silentUntilMs = 3000;
    started = [];
    maxRetries = Number.POSITIVE_INFINITY;
    othersRefuse = false;
    reportMs = 0;
    retries = 0;
  });

  function createRunner(): GenerationRunner {
    const {clock, configuration} = servers;
    directory = new ServerDirectory(
      {
        createEngine,
        createService: () => {
          throw new Error('unexpected service: all servers run engines');
        },
      },
      clock,
      'tac-hall',
      () => 1,
    );
    directory.setServers(configuration.getView().servers.values());
    reportLoad();
    clock.startTimer(reportMs, reportLoad);
    const spend = () => {
      const hasRetry = retries < maxRetries;
      retries += hasRetry ? 1 : 0;
      return hasRetry;
    };
    return new GenerationRunner({
      ...servers,
      random: new SeededRandom(1),
      directory,
      budget: Object.assign(new RetryBudget(clock), {spend}),
      running: new RunningGenerations(),
      meter: {addToken: () => undefined},
      lengths: new AnswerLengths(),
      chooseServer,
      checkToken,
      isLeaving: () => false,
      firstTokenTimeoutMs: FIRST_TOKEN_TIMEOUT_MS,
      tokenTimeoutMs: TOKEN_TIMEOUT_MS,
    });
  }

  function reportLoad(): void {
    const load = {
      running: 0,
      waiting: 0,
      capacity: 8,
      prefillRate: 1000,
      decodeMs: 5,
      models: [{name: 'm', version: '1', adapters: []}],
    };
    for (const {name} of directory.listServers().slice(0, engineCount)) {
      directory.addLoad(name, load, 0);
    }
  }

  function createEngine({name}: Server): ModelEngine {
    async function* generate(
      {requestId, continuation}: GenerationAttempt,
      signal: AbortSignal,
    ): AsyncGenerator<Token> {
      started.push(name);
      if (othersRefuse && name !== started[0]) {
        throw new ServerFailure(DeliveryState.NOT_SENT, 'refused');
      }
      const isSilent = () => {
        const nowMs = servers.clock.monotonicMs();
        const isAffected =
          new Set(started).size <= silentCount ||
          [...new Set(started)].indexOf(name) < silentCount;
        return isAffected && nowMs >= silentFromMs && nowMs < silentUntilMs;
      };
      for (let position = continuation.length; ; position++) {
        do {
          await servers.clock.sleep(TOKEN_MS, signal);
          if (signal.aborted) {
            throw new ServerFailure(DeliveryState.SENT, 'cancelled');
          }
        } while (isSilent());
        const token = {requestId, position, text: `t${position} `};
        if (position === TOKENS - 1) {
          yield {...token, finishReason: 'stop'};
          return;
        }
        yield token;
      }
    }
    return {generate} as unknown as ModelEngine;
  }

  /** Runs a generation until its deadline. */
  async function run(): Promise<readonly GenerationEvent[]> {
    const {clock} = servers;
    const generation = new Generation(
      {
        id: 'r1',
        customer: 'guild',
        deployment: DEPLOYMENT,
        adapter: '',
        format: GenerationFormat.TEXT,
        body: {prompt: 'a prompt'},
        urgency: 0,
        deadlineMs: DEADLINE_MS,
      },
      [],
      clock.monotonicMs(),
    );
    const {signal} = new AbortController();
    void createRunner().run(generation, signal);
    await clock.advance(DEADLINE_MS + TOKEN_TIMEOUT_MS);
    const events: GenerationEvent[] = [];
    for await (const event of generation.read(0, signal, () => 0)) {
      events.push(event);
    }
    return events;
  }

  function expectWhole(events: readonly GenerationEvent[]): void {
    expect(events.at(-1)?.kind).to.equal('finished');
    const texts = events.flatMap(event =>
      event.kind === 'token' ? [event.text] : [],
    );
    expect(texts).to.eql(Array.from({length: TOKENS}, (_, n) => `t${n} `));
  }

  // Guards against a stream that is given up for silence before another engine can
  // continue it: the engine would have gone on, and its caller gets an error instead.
  describe('a stream whose engine is silent for longer than the timeout', () => {
    it('goes on with that engine if no retry is left', async () => {
      maxRetries = 0;
      expectWhole(await run());
      expect(started).to.have.length(1);
    });

    it('goes on with that engine if no other one is known', async () => {
      engineCount = 1;
      silentCount = 1;
      expectWhole(await run());
      expect(started).to.have.length(1);
      expect(retries).to.equal(0);
    });

    it('goes on with that engine if the next one refuses the last retry', async () => {
      maxRetries = 1;
      othersRefuse = true;
      expectWhole(await run());
    });

    it('is sent again to the only engine if that reports its load meanwhile', async () => {
      engineCount = 1;
      silentCount = 1;
      reportMs = 1000;
      expectWhole(await run());
      expect(started).to.have.length(2);
      expect(retries).to.equal(1);
    });

    it('goes on with that engine if no retry is left before the first token', async () => {
      maxRetries = 0;
      silentFromMs = 0;
      expectWhole(await run());
      expect(started).to.have.length(1);
    });

    it('is continued by another engine that is known, with one retry', async () => {
      silentCount = 1;
      silentUntilMs = Number.POSITIVE_INFINITY;
      expectWhole(await run());
      expect(started).to.have.length(2);
      expect(retries).to.equal(1);
    });

    it('is continued by a further engine if the next ones are silent too', async () => {
      silentCount = 3;
      silentUntilMs = Number.POSITIVE_INFINITY;
      expectWhole(await run());
      expect(new Set(started).size).to.equal(4);
      expect(retries).to.equal(3);
    });

    it('ends at its deadline if the engine stays silent without a replacement', async () => {
      maxRetries = 0;
      silentUntilMs = Number.POSITIVE_INFINITY;
      const end = (await run()).at(-1);
      const problem = end?.kind === 'failed' ? end.problem : undefined;
      expect(problem?.kind).to.equal('deadline-passed');
    });
  });
});
