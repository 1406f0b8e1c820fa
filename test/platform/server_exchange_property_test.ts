import {Socket} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {ExchangeKind} from '../../src/relay/index.js';
import {ServerExchange} from '../../platform/server_exchange.js';
import {createOrder} from './exchange_fixture.js';
import {answerWith, Script, StandInServer} from './stand_in/stand_in_server.js';

const SEED = 20261202;
const RUNS = 150;

/** How the end of a body is told. */
const Framing = {
  LENGTH: 'length',
  CHUNKS: 'chunks',
  CHANNEL_END: 'channel-end',
} as const;
type Framing = (typeof Framing)[keyof typeof Framing];

/** How a channel ends after the last byte. */
const End = {KEPT: 'kept', CLOSED: 'closed', RESET: 'reset'} as const;
type End = (typeof End)[keyof typeof End];

/** What a server does in answer to one request. */
interface Behaviour {
  readonly framing: Framing;
  readonly body: string;
  readonly id: 'own' | 'other' | 'none';
  readonly signed: boolean;
  readonly status: number;
  readonly saysNotRun: boolean;
  /** Share of the answer's bytes that are sent at all. */
  readonly sentShare: number;
  readonly end: End;
  /** Bytes that follow a whole answer and belong to no request. */
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
  saysNotRun: fc.oneof(
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

describe('ServerExchange, by generated answers', () => {
  let server: StandInServer;
  let address: string;
  let exchange: ServerExchange;
  let count = 0;

  beforeEach(async () => {
    server = new StandInServer(answerWith('whole'));
    address = await server.listen();
    exchange = new ServerExchange(PATIENT_MS);
  });

  afterEach(() => server.stop());

  /** Sends one request; returns what a caller would be told. */
  async function send(id: string, ends = true): Promise<Outcome> {
    const silent = AbortSignal.timeout(ends ? PATIENT_MS : SILENT_MS);
    const result = await exchange.send(createOrder(id, address), silent);
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

  it('takes for whole only what is, and never what belongs to another', async () => {
    let whole = 0;
    await fc.assert(
      fc.asyncProperty(behaviour, async made => {
        server.script = perform(made);
        const outcome = await send(`r${++count}`, ends(made));
        if (outcome.kind === 'whole') {
          whole++;
          expect(outcome).to.deep.include({
            status: made.status,
            body: made.body,
          });
          expect(made.id).to.equal('own');
          expect(made.signed).to.equal(true);
          expect(isWhole(made)).to.equal(true);
        }
        if (outcome.kind === ExchangeKind.NOT_RUN) {
          expect(made.saysNotRun || made.status === 421).to.equal(true);
        }
      }),
      {seed: SEED, numRuns: RUNS},
    );
    expect(whole).to.be.greaterThan(RUNS / 10);
  });

  it('gives the next request its own answer, whatever came before', async () => {
    await fc.assert(
      fc.asyncProperty(behaviour, fc.boolean(), async (made, isAtOnce) => {
        server.script = perform(made);
        await send(`r${++count}`, ends(made));
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

/** What a caller would be told. */
interface Outcome {
  readonly kind: string;
  readonly status?: number;
  readonly body?: string;
}

/** Time after which an answer that never ends is given up, in milliseconds. */
const SILENT_MS = 30;
/** Time for an answer that ends, on a busy machine, in milliseconds. */
const PATIENT_MS = 5000;

/** Tells whether the one who asked learns that nothing more comes. */
function ends(made: Behaviour): boolean {
  return made.end !== End.KEPT || isWhole(made);
}

/** Tells whether a server sent the whole answer, and so that it shows. */
function isWhole(made: Behaviour): boolean {
  if (made.framing === Framing.CHANNEL_END) {
    return made.end === End.CLOSED && made.sentShare === 1;
  }
  // The last chunk's line ends are part of the answer.
  return made.sentShare === 1;
}

function perform(made: Behaviour): Script {
  return (socket, request) => {
    const own = request.headers.get('request-id') ?? '';
    const answer = format(made, own);
    const length = Math.floor(answer.length * made.sentShare);
    const isCut = length < answer.length;
    const extra =
      isCut || made.framing === Framing.CHANNEL_END ? '' : made.extra;
    void writePieces(socket, answer.slice(0, length) + extra, made);
  };
}

function format(made: Behaviour, ownId: string): string {
  const {framing, body, id, signed, status, saysNotRun} = made;
  const lines = [`HTTP/1.1 ${status} X`];
  if (id !== 'none') {
    lines.push(`Request-Id: ${id === 'own' ? ownId : 'other'}`);
  }
  if (signed) {
    lines.push('Server-Signature: sig');
  }
  if (saysNotRun) {
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
  const chunk = body === '' ? '' : `${body.length.toString(16)}\r\n${body}\r\n`;
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
