import {Random} from '../../../src/random/index.js';
import {formatHead, ReceivedRequest, Script} from './fake_server.js';

const EVENTS = 6;
const MAX_BYTE = 256;
const FIRST_PRINTABLE = 0x20;
const RESET_DELAY_MS = 5;
/** Shares of the answers that are whole, and that are broken off. */
const WHOLE_SHARE = 0.2;
const BROKEN_SHARE = 0.6;
/** Ways in which an answer is spoiled. */
const SPOILERS: readonly ((bytes: Buffer, random: Random) => Buffer)[] = [
  // One byte is another one, anywhere.
  (bytes, random) => {
    const copy = Buffer.from(bytes);
    copy[draw(random, copy.length)] = draw(random, MAX_BYTE);
    return copy;
  },
  // One byte after the name of a field is another one.
  (bytes, random) => {
    const copy = Buffer.from(bytes);
    const fields = [...copy.toString('latin1').matchAll(/[:/] ?/g)];
    const field = fields[draw(random, fields.length)];
    copy[(field?.index ?? 0) + (field?.[0].length ?? 0)] = draw(
      random,
      MAX_BYTE,
    );
    return copy;
  },
  // One byte of the last event's id is another one, mostly one that is no text.
  (bytes, random) => {
    const text = bytes.toString('latin1');
    const ids = [...text.matchAll(/id: (?=\d)/g)];
    const id = ids[draw(random, ids.length)];
    if (id === undefined) {
      return bytes;
    }
    const at = id.index + id[0].length;
    const end = text.indexOf('\n\n', at) + 2;
    const copy = Buffer.from(bytes.subarray(0, end));
    copy[at] = draw(random, random.next() < 0.7 ? FIRST_PRINTABLE : MAX_BYTE);
    return copy;
  },
  // A part is missing.
  (bytes, random) => {
    const from = draw(random, bytes.length);
    const to = from + draw(random, bytes.length - from);
    return Buffer.concat([bytes.subarray(0, from), bytes.subarray(to)]);
  },
  // A line comes twice, or is very long.
  (bytes, random) => {
    const lines = bytes.toString('latin1').split('\n');
    const index = draw(random, lines.length);
    const line = lines[index] ?? '';
    lines.splice(index, 0, random.next() < 0.5 ? line : line.repeat(5000));
    return Buffer.from(lines.join('\n'), 'latin1');
  },
  // The status is any number.
  (bytes, random) =>
    Buffer.from(
      bytes
        .toString('latin1')
        .replace(/ \d{3} /, ` ${String(draw(random, 1000)).padStart(3, '0')} `),
      'latin1',
    ),
];

function draw(random: Random, count: number): number {
  return Math.floor(random.next() * count);
}

/** The whole body of a stream. */
export const WHOLE_STREAM = formatEvents(1);

function formatEvents(from: number): string {
  return Array.from(
    {length: EVENTS - from + 1},
    (_, index) => `id: ${from + index}\ndata: t${from + index}\n\n`,
  ).join('');
}

/** Creates a script whose answers are whole, for streams from the event that is asked for. */
export function createWholeAnswers(): Script {
  return (socket, request) => void socket.write(formatAnswer(request, []));
}

/** Creates a script whose answers are spoiled at random and then broken off or not. */
export function createSpoiledAnswers(random: Random): Script {
  return (socket, request) => {
    const bytes = formatAnswer(request, ['Server-Limit: 500']);
    const spoil = SPOILERS[draw(random, SPOILERS.length)];
    const spoiled =
      spoil === undefined || random.next() < WHOLE_SHARE
        ? bytes
        : spoil(bytes, random);
    const length =
      random.next() < BROKEN_SHARE
        ? draw(random, spoiled.length + 1)
        : spoiled.length;
    socket.write(spoiled.subarray(0, length));
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  };
}

function formatAnswer(
  request: ReceivedRequest,
  more: readonly string[],
): Buffer {
  const isStream = /\/[sv]\//.test(request.line);
  const after = Number(request.headers.get('last-event-id') ?? 0) || 0;
  const body = isStream ? formatEvents(after + 1) : 'whole';
  const head = formatHead(request, 200, [
    ...more,
    'Keep-Alive: timeout=5',
    isStream ? 'Content-Type: text/event-stream' : 'X-Any: x',
    `Content-Length: ${body.length}`,
  ]);
  return Buffer.from(head + body, 'latin1');
}
