import {expect} from 'chai';
import {got, OptionsInit} from 'got';
import OpenAI from 'openai';
import {getExpectedTokens} from '../../src/fakes/index.js';
import {TrialSystem} from '../../src/trial/index.js';
import {
  useSystem,
  CALLER_KEY,
  createCaller,
  engine,
  getHost,
  service,
} from './system_fixture.js';

describe('a system of separate processes, for callers', () => {
  const system = new TrialSystem({
    hosts: [
      {name: 'tac-entry-1', dataCentre: 'tac-hall'},
      {name: 'pdx-entry-1', dataCentre: 'pdx-hall'},
    ],
    servers: [
      engine('tac-model-1', 'tac-hall'),
      engine('pdx-model-1', 'pdx-hall'),
      service('tac-bids-1', 'tac-hall'),
      service('pdx-bids-1', 'pdx-hall'),
    ],
    settings: {callers: ['max_body_bytes = 20000']},
  });

  useSystem(system);

  async function post(path: string, options: OptionsInit) {
    const response = await got.post(`${getHost(system, 0).callersUrl}${path}`, {
      headers: {authorization: `Bearer ${CALLER_KEY}`, ...options.headers},
      ...(options.json === undefined ? {} : {json: options.json}),
      ...(options.body === undefined ? {} : {body: options.body}),
      throwHttpErrors: false,
      retry: {limit: 0},
    });
    const body = JSON.parse(response.body as string) as Record<string, unknown>;
    return {status: response.statusCode, body, headers: response.headers};
  }

  describe('an unmodified published client', () => {
    const messages = [{role: 'user' as const, content: 'Describe lot 12.'}];

    function createClient(): OpenAI {
      const baseURL = `${getHost(system, 0).callersUrl}/v1`;
      return new OpenAI({baseURL, apiKey: CALLER_KEY, maxRetries: 0});
    }

    it('streams a chat completion', async () => {
      const stream = await createClient().chat.completions.create({
        model: 'dossier',
        messages,
        max_tokens: 12,
        stream: true,
      });
      let text = '';
      for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? '';
      }
      const expected = getExpectedTokens({messages, max_tokens: 12});
      expect(text).to.equal(expected.join(''));
    });

    it('reads a whole text completion', async () => {
      const completion = await createClient().completions.create({
        model: 'dossier',
        prompt: 'A cast-iron bank.',
        max_tokens: 4,
      });
      expect(completion.usage?.completion_tokens).to.equal(4);
    });

    it('receives the kind and remedy of a refusal', async () => {
      const failure = await createClient()
        .chat.completions.create({model: 'nobody', messages})
        .catch((error: unknown) => error);
      expect(failure).to.be.instanceOf(OpenAI.NotFoundError);
      expect(String(failure)).to.include('Use one of: dossier');
    });

    it('lists the deployments as models', async () => {
      const models = await createClient().models.list();
      expect(models.data.map(model => model.id)).to.deep.equal(['dossier']);
    });
  });

  describe('answers invalid input with a clear error and continues to serve', () => {
    async function expectProblem(
      path: string,
      options: OptionsInit,
      expected: {status: number; kind: string},
    ) {
      const {status, body} = await post(path, options);
      expect(status, JSON.stringify(body)).to.equal(expected.status);
      expect(body['type']).to.equal(`urn:sedgefall:problem:${expected.kind}`);
      expect(body['remedy']).to.be.a('string').and.not.equal('');
      expect(body['ran']).to.equal('no');
      const followUp = await createCaller(system, 0).stream('dossier', 'x', 2);
      expect(followUp.complete).to.equal(true);
    }

    const json = {model: 'dossier', prompt: 'x', max_tokens: 2};

    it('a body that is not JSON', () =>
      expectProblem(
        '/v1/completions',
        {body: '{'},
        {
          status: 400,
          kind: 'body-invalid',
        },
      ));

    it('a body without required members', () =>
      expectProblem(
        '/v1/chat/completions',
        {json: {model: 'dossier'}},
        {
          status: 400,
          kind: 'body-invalid',
        },
      ));

    it('a body over the limit', () =>
      expectProblem(
        '/v1/completions',
        {body: 'x'.repeat(30_000)},
        {
          status: 413,
          kind: 'body-too-large',
        },
      ));

    it('a request header over the limit', () =>
      expectProblem(
        '/v1/completions',
        {json, headers: {'x-long': 'x'.repeat(20_000)}},
        {status: 431, kind: 'header-invalid'},
      ));

    it('an unknown model', () =>
      expectProblem(
        '/v1/completions',
        {json: {...json, model: 'm'}},
        {
          status: 404,
          kind: 'deployment-unknown',
        },
      ));

    it('an unknown service', () =>
      expectProblem(
        '/services/nobody/bids',
        {json},
        {
          status: 404,
          kind: 'deployment-unknown',
        },
      ));

    it('a wrong key', () =>
      expectProblem(
        '/v1/completions',
        {json, headers: {authorization: 'Bearer wrong'}},
        {status: 401, kind: 'unauthenticated'},
      ));

    for (const timeout of ['0', '-5', '1e9', '99999999', 'soon']) {
      it(`an invalid timeout: ${timeout}`, () =>
        expectProblem(
          '/v1/completions',
          {json, headers: {'sedgefall-timeout-ms': timeout}},
          {status: 400, kind: 'deadline-invalid'},
        ));
    }

    it('an invalid priority', () =>
      expectProblem(
        '/v1/completions',
        {json, headers: {priority: 'u=99'}},
        {
          status: 400,
          kind: 'header-invalid',
        },
      ));

    it('an idempotency key that imitates one minted by the system', () =>
      expectProblem(
        '/services/bids/bids',
        {json, headers: {'idempotency-key': 'sf1.nonsense'}},
        {status: 400, kind: 'key-invalid'},
      ));

    it('an unknown path', () =>
      expectProblem(
        '/v2/completions',
        {json},
        {status: 404, kind: 'route-unknown'},
      ));
  });

  describe('bookings', () => {
    it('answers a repeated key with the first answer, through any host', async () => {
      const headers = {'idempotency-key': 'lot-1-bid-1'};
      const first = await createCaller(system, 0).call(
        'bids',
        '/bids',
        {lot: 1},
        headers,
      );
      const second = await createCaller(system, 1).call(
        'bids',
        '/bids',
        {lot: 1},
        headers,
      );
      expect(first.status).to.equal(201);
      expect(second.body).to.deep.equal(first.body);
      expect(second.headers['sedgefall-replayed']).to.equal('true');
    });

    it('refuses a key that was used with a different body', async () => {
      const headers = {'idempotency-key': 'lot-2-bid-1'};
      const caller = createCaller(system, 0);
      await caller.call('bids', '/bids', {lot: 2}, headers);
      const second = await caller.call('bids', '/bids', {lot: 3}, headers);
      expect(second.status).to.equal(422);
    });

    it('returns the stored answer by the id of the request', async () => {
      const first = await createCaller(system, 0).call('bids', '/bids', {l: 4});
      const id = String(first.headers['sedgefall-request-id']);
      const again = await got(
        `${getHost(system, 1).callersUrl}/v1/requests/${id}`,
        {headers: {authorization: `Bearer ${CALLER_KEY}`}},
      );
      expect(JSON.parse(again.body)).to.deep.equal(first.body);
    });

    it('accepts a booking asynchronously and returns its answer later', async () => {
      const accepted = await createCaller(system, 0).call(
        'bids',
        '/bids',
        {lot: 5},
        {'idempotency-key': 'lot-5-bid-1', prefer: 'respond-async'},
      );
      expect(accepted.status).to.equal(202);
      const url = `${getHost(system, 1).callersUrl}${String(accepted.headers['location'])}`;
      for (;;) {
        const answer = await got(url, {
          headers: {authorization: `Bearer ${CALLER_KEY}`},
        });
        if (answer.statusCode === 201) {
          break;
        }
      }
    });

    it('runs each booking once', async () => {
      const runs: Record<string, number> = {};
      for (const server of system.servers) {
        if (server.plan.kind === 'service') {
          Object.assign(
            runs,
            await got(`${server.url}/runs`).json<Record<string, number>>(),
          );
        }
      }
      expect(runs).to.include({'lot-1-bid-1': 1, 'lot-5-bid-1': 1});
    });
  });

  describe('streams', () => {
    it('resume after the last received event, through another host', async () => {
      const whole = await createCaller(system, 0).stream('dossier', 'p', 20);
      const response = await got(
        `${getHost(system, 1).callersUrl}/v1/requests/${whole.requestId}/events`,
        {
          headers: {
            authorization: `Bearer ${CALLER_KEY}`,
            'last-event-id': `${whole.requestId}/7`,
          },
        },
      );
      const ids = [...response.body.matchAll(/^id: .*\/(\d+)$/gm)].map(match =>
        Number(match[1]),
      );
      expect(ids).to.deep.equal(Array.from({length: 12}, (_u, i) => i + 8));
    });

    it('are cancelled at their deadline even while tokens still arrive', async () => {
      const {status, body} = await post('/v1/completions', {
        json: {model: 'dossier', prompt: 'late', max_tokens: 4000},
        headers: {'sedgefall-timeout-ms': '500'},
      });
      expect(status).to.equal(504);
      expect(body['type']).to.equal('urn:sedgefall:problem:deadline-passed');
    });

    it('are not found under an unknown request id', async () => {
      const response = await got(
        `${getHost(system, 0).callersUrl}/v1/requests/sf1.a.b.c`,
        {
          headers: {authorization: `Bearer ${CALLER_KEY}`},
          throwHttpErrors: false,
        },
      );
      expect(response.statusCode).to.equal(404);
    });
  });

  describe('logs', () => {
    it('contain a line per routing decision, but no keys or prompts', async () => {
      await createCaller(system, 0).stream('dossier', 'secret prompt', 2);
      const lines = getHost(system, 0).process.lines;
      const route = lines.filter(line => line.includes('event=route')).pop();
      expect(route).to.match(/request=\S+ .*server=\S+ .*reason=\S+/);
      expect(lines.join('\n')).to.not.include(CALLER_KEY);
      expect(lines.join('\n')).to.not.include('secret prompt');
    });
  });
});
