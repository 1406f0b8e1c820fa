import {Socket} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {ExchangeKind} from '../../src/relay/index.js';
import {ServerExchange} from '../../platform/server_exchange.js';
import {createExchangeParams} from './exchange_fixture.js';
import {
  answerWith,
  FakeServer,
  formatChunk,
  Script,
} from './fakes/fake_server.js';

const SEED = 20261202;
const RUNS = 150;

/** How the end of a body is marked. */
const Framing = {
  LENGTH: 'length',
  CHUNKS: 'chunks',
  CONNECTION_END: 'channel-end',
} as const;
type Framing = (typeof Framing)[keyof typeof Framing];

/** What happens to a connection after the last byte. */
const End = {KEPT: 'kept', CLOSED: 'closed', RESET: 'reset'} as const;
type End = (typeof End)[keyof typeof End];

/** How a server responds to one request. */
interface Behaviour {
  readonly framing: Framing;
  readonly body: string;
  readonly id: 'own' | 'other' | 'none';
  readonly signed: boolean;
  readonly status: number;
  readonly statesNotRun: boolean;
  /** Share of the response's bytes that are sent. */
  readonly sentShare: number;
  readonly end: End;
  /** Bytes that follow a complete response and belong to no request. */
  readonly extra: string;
  readonly cuts: readonly number[];
}

const behaviour: fc.Arbitrary<Behaviour> = fc.record({
  framing: fc.constantFrom(...Object.values(Framing)),
  body: fc.stringMatching(/^[ -~]{0,120}$/),
  id: fc.oneof(
    {weight: 6, arbitrary: fc.constant<'own'>('own')},
    fc.constantFrom<'other' | 'none'>('other', 'none'),
  ),
  signed: fc.oneof({weight: 6, arbitrary: fc.constant(true)}, fc.boolean()),
  status: fc.oneof(
    {weight: 6, arbitrary: fc.constant(200)},
    fc.constantFrom(201, 404, 421, 429, 500, 503),
  ),
  statesNotRun: fc.oneof(
    {weight: 6, arbitrary: fc.constant(false)},
    fc.boolean(),
  ),
  sentShare: fc.oneof(
    {weight: 3, arbitrary: fc.constant(1)},
    fc.double({min: 0, max: 1, noNaN: true}),
  ),
  end: fc.constantFrom(...Object.values(End)),
  extra: fc.oneof(
    {weight: 3, arbitrary: fc.constant('')},
    fc.constantFrom('x', '\r\n', '0\r\n\r\n'),
    fc.constant(
      'HTTP/1.1 200 X\r\nRequest-Id: other\r\nServer-Signature: s\r\nContent-Length: 5\r\n\r\nextra',
    ),
  ),
  cuts: fc.array(fc.integer({min: 1, max: 60}), {maxLength: 4}),
});

describe('ServerExchange, with generated responses', () => {
  let server: FakeServer;
  let address: string;
  let exchange: ServerExchange;
  let count = 0;

  beforeEach(async () => {
    server = new FakeServer(answerWith('whole'));
    address = await server.listen();
    exchange = new ServerExchange({
      connectTimeoutMs: RESPONSE_TIMEOUT_MS,
    });
  });

  afterEach(() => server.stop());

  /** Sends one request; returns the outcome for its caller. */
  async function send(id: string, hasEnd = true): Promise<Outcome> {
    const timeout = AbortSignal.timeout(
      hasEnd ? RESPONSE_TIMEOUT_MS : ENDLESS_TIMEOUT_MS,
    );
    const result = await exchange.send(
      createExchangeParams(id, address),
      timeout,
    );
    if (result.kind !== ExchangeKind.ANSWERED) {
      return {kind: result.kind};
    }
    const pieces: Uint8Array[] = [];
    try {
      for await (const piece of result.body) {
        pieces.push(piece);
      }
    } catch {
      return {kind: 'broken-off'};
    }
    const body = Buffer.concat(pieces).toString();
    return {kind: 'whole', status: result.status, body};
  }

  it('accepts as complete only complete responses, and none to another request', async () => {
    let whole = 0;
    await fc.assert(
      fc.asyncProperty(behaviour, async generated => {
        server.script = perform(generated);
        const outcome = await send(`r${++count}`, hasDetectableEnd(generated));
        if (outcome.kind === 'whole') {
          whole++;
          expect(outcome).to.deep.include({
            status: generated.status,
            body: generated.body,
          });
          expect(generated.id).to.equal('own');
          expect(generated.signed).to.equal(true);
          expect(isComplete(generated)).to.equal(true);
        }
        if (outcome.kind === ExchangeKind.NOT_RUN) {
          expect(generated.statesNotRun || generated.status === 421).to.equal(
            true,
          );
        }
      }),
      {seed: SEED, numRuns: RUNS},
    );
    expect(whole).to.be.greaterThan(RUNS / 10);
  });

  it('gives the next request its own response, whatever arrived before', async () => {
    await fc.assert(
      fc.asyncProperty(behaviour, fc.boolean(), async (generated, isAtOnce) => {
        server.script = perform(generated);
        await send(`r${++count}`, hasDetectableEnd(generated));
        if (!isAtOnce) {
          await new Promise(resolve => setTimeout(resolve, 2));
        }
        const body = `mine ${++count}`;
        server.script = answerWith(body);
        const outcome = await send(`r${count}`);
        if (outcome.kind === 'whole') {
          expect(outcome.body).to.equal(body);
        }
      }),
      {seed: SEED, numRuns: RUNS},
    );
  });
});

/** Outcome of a request for its caller. */
interface Outcome {
  readonly kind: string;
  readonly status?: number;
  readonly body?: string;
}

/** Timeout for a response that never ends, in milliseconds. */
const ENDLESS_TIMEOUT_MS = 30;
/** Timeout for a response that ends, on a busy machine, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 5000;

/** Returns whether the requester can detect the end of the response. */
function hasDetectableEnd(generated: Behaviour): boolean {
  return generated.end !== End.KEPT || isComplete(generated);
}

/** Returns whether a server sent a response that is recognizable as complete. */
function isComplete(generated: Behaviour): boolean {
  if (generated.framing === Framing.CONNECTION_END) {
    return generated.end === End.CLOSED && generated.sentShare === 1;
  }
  // The line ends of the last chunk are part of the response.
  return generated.sentShare === 1;
}

function perform(generated: Behaviour): Script {
  return (socket, request) => {
    const own = request.headers.get('request-id') ?? '';
    const answer = format(generated, own);
    const length = Math.floor(answer.length * generated.sentShare);
    const isCut = length < answer.length;
    const extra =
      isCut || generated.framing === Framing.CONNECTION_END
        ? ''
        : generated.extra;
    void writePieces(socket, answer.slice(0, length) + extra, generated);
  };
}

function format(generated: Behaviour, ownId: string): string {
  const {framing, body, id, signed, status, statesNotRun} = generated;
  const lines = [`HTTP/1.1 ${status} X`];
  if (id !== 'none') {
    lines.push(`Request-Id: ${id === 'own' ? ownId : 'other'}`);
  }
  if (signed) {
    lines.push('Server-Signature: sig');
  }
  if (statesNotRun) {
    lines.push('Not-Executed: 1');
  }
  lines.push('Keep-Alive: timeout=5');
  if (framing === Framing.LENGTH) {
    lines.push(`Content-Length: ${body.length}`);
  }
  if (framing === Framing.CHUNKS) {
    lines.push('Transfer-Encoding: chunked');
  }
  const head = `${lines.join('\r\n')}\r\n\r\n`;
  if (framing !== Framing.CHUNKS) {
    return head + body;
  }
  const chunk = body === '' ? '' : formatChunk(body);
  return `${head}${chunk}0\r\n\r\n`;
}

async function writePieces(
  socket: Socket,
  text: string,
  {cuts, end}: Behaviour,
): Promise<void> {
  let rest = text;
  for (const cut of [...cuts, text.length]) {
    const piece = rest.slice(0, cut);
    rest = rest.slice(cut);
    if (piece !== '' && socket.writable) {
      await new Promise<void>(resolve => socket.write(piece, () => resolve()));
    }
  }
  if (end === End.CLOSED) {
    socket.end();
  }
  if (end === End.RESET) {
    socket.resetAndDestroy();
  }
}
