import {expect} from 'chai';
import {Result} from 'true-myth';
import {PlainService, ServiceAnswer} from '../../src/backend/index.js';
import {Server} from '../../src/configuration/index.js';
import {ProblemKind} from '../../src/errors/index.js';
import {DispatchKind, DispatchResult} from '../../src/journal/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {RetryBudget, ServerDirectory} from '../../src/routing/index.js';
import {ServiceDispatcher} from '../../src/service/index.js';
import {
  DEPLOYMENT,
  TerminatingServers,
} from '../quarantine/terminating_servers.js';

const LETHAL_BODY = 'terminates its server';

describe('ServiceDispatcher', () => {
  let servers: TerminatingServers;
  let dispatcher: ServiceDispatcher;

  beforeEach(() => {
    servers = new TerminatingServers('service');
    const {clock, configuration} = servers;
    const directory = new ServerDirectory(
      {
        createEngine: () => {
          throw new Error('unexpected engine: all servers run services');
        },
        createService,
      },
      clock,
      'tac-hall',
      () => 1,
    );
    directory.setServers(configuration.getView().servers.values());
    const budget = new RetryBudget(clock);
    dispatcher = new ServiceDispatcher({
      ...servers,
      random: new SeededRandom(1),
      directory,
      budget: Object.assign(budget, {spend: () => true}),
      isLeaving: () => false,
      dataCentre: 'tac-hall',
    });
  });

  function createService({name, address}: Server): PlainService {
    return {
      getOutcome: async () => Result.ok(undefined),
      send: async ({requestId, body}) => {
        if (Buffer.from(body).toString() === LETHAL_BODY) {
          return Result.err(servers.terminate(name, address));
        }
        const answer: ServiceAnswer = {
          requestId,
          status: 200,
          contentType: 'text/plain',
          body: Buffer.from('booked'),
        };
        return Result.ok(answer);
      },
    };
  }

  function dispatch(body: string): Promise<DispatchResult> {
    return dispatcher.dispatchRepeatable({
      requestId: 'r1',
      deployment: DEPLOYMENT,
      customer: 'guild',
      deadlineMs: 1000,
      call: {
        requestId: 'r1',
        method: 'POST',
        path: '/bids',
        contentType: 'text/plain',
        body: Buffer.from(body),
      },
    });
  }

  describe('a call that terminates the servers that run it', () => {
    it('terminates three of them, however long it may be retried', async () => {
      const result = await dispatch(LETHAL_BODY);
      expect(result.kind).to.equal(DispatchKind.LOST);
      expect(servers.ends).to.have.length(3);
    });

    it('is refused as not run when it is sent again', async () => {
      await dispatch(LETHAL_BODY);
      const result = await dispatch(LETHAL_BODY);
      expect(result.kind).to.equal(DispatchKind.NOT_SENT);
      const problem =
        result.kind === DispatchKind.NOT_SENT ? result.problem : undefined;
      expect(problem?.kind).to.equal(ProblemKind.QUARANTINED);
      expect(problem?.retryAfterSeconds).to.equal(600);
      expect(servers.ends).to.have.length(3);
    });

    it('does not block other calls from the remaining servers', async () => {
      await dispatch(LETHAL_BODY);
      const result = await dispatch('another');
      expect(result.kind).to.equal(DispatchKind.ANSWERED);
    });
  });
});
