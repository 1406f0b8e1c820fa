import {expect} from 'chai';
import {GenerationFormat, ModelEngine, Token} from '../../src/backend/index.js';
import {Server} from '../../src/configuration/index.js';
import {ProblemKind, ExecutionStatus} from '../../src/errors/index.js';
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

const LETHAL_PROMPT = 'terminates its server';

describe('GenerationRunner', () => {
  let servers: TerminatingServers;
  let runner: GenerationRunner;

  beforeEach(() => {
    servers = new TerminatingServers('engine');
    const {clock, configuration} = servers;
    const directory = new ServerDirectory(
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
    for (const {name} of directory.listServers()) {
      directory.addLoad(
        name,
        {
          running: 0,
          waiting: 0,
          capacity: 8,
          prefillRate: 1000,
          decodeMs: 5,
          models: [{name: 'm', version: '1', adapters: []}],
        },
        0,
      );
    }
    const budget = new RetryBudget(clock);
    runner = new GenerationRunner({
      ...servers,
      random: new SeededRandom(1),
      directory,
      budget: Object.assign(budget, {spend: () => true}),
      running: new RunningGenerations(),
      meter: {addToken: () => undefined},
      lengths: new AnswerLengths(),
      chooseServer,
      checkToken,
      isLeaving: () => false,
      firstTokenTimeoutMs: 5000,
      tokenTimeoutMs: 1000,
    });
  });

  function createEngine({name, address}: Server): ModelEngine {
    async function* generate(order: {
      readonly requestId: string;
      readonly body: Readonly<Record<string, unknown>>;
    }): AsyncGenerator<Token> {
      if (order.body['prompt'] === LETHAL_PROMPT) {
        throw servers.terminate(name, address);
      }
      const {requestId} = order;
      yield {requestId, position: 0, text: 'x', finishReason: 'stop'};
    }
    return {generate} as unknown as ModelEngine;
  }

  async function run(prompt: string): Promise<GenerationEvent | undefined> {
    const generation = new Generation(
      {
        id: 'r1',
        customer: 'guild',
        deployment: DEPLOYMENT,
        adapter: '',
        format: GenerationFormat.TEXT,
        body: {prompt},
        urgency: 0,
        deadlineMs: 60_000,
      },
      [],
      servers.clock.monotonicMs(),
    );
    await runner.run(generation, new AbortController().signal);
    let last: GenerationEvent | undefined;
    const {signal} = new AbortController();
    const events = generation.read(0, signal, () =>
      servers.clock.monotonicMs(),
    );
    for await (const event of events) {
      last = event;
    }
    return last;
  }

  describe('a generation that terminates the engines that run it', () => {
    it('terminates three of them, however long its caller waits', async () => {
      const end = await run(LETHAL_PROMPT);
      expect(servers.ends).to.have.length(3);
      const problem = end?.kind === 'failed' ? end.problem : undefined;
      expect(problem?.kind).to.equal(ProblemKind.QUARANTINED);
      expect(problem?.ran).to.equal(ExecutionStatus.UNKNOWN);
    });

    it('is refused as not run when it is requested again', async () => {
      await run(LETHAL_PROMPT);
      const end = await run(LETHAL_PROMPT);
      const problem = end?.kind === 'failed' ? end.problem : undefined;
      expect(problem?.ran).to.equal(ExecutionStatus.NOT_EXECUTED);
      expect(servers.ends).to.have.length(3);
    });

    it('does not block other generations from the remaining engines', async () => {
      await run(LETHAL_PROMPT);
      expect((await run('another'))?.kind).to.equal('finished');
    });
  });
});
