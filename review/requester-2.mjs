// A requester: one attempt on a new channel, given up at its time budget.
import {open, parseHead} from './net-2.mjs';

/**
 * Sends one attempt. Resolves to what the requester has seen.
 * @param options.giveUpMs - Time budget, sent in `Deadline-Remaining`.
 * @param options.onSocket - Called with the channel, for instance to pause it.
 */
export function send(address, options) {
  const {id, path, host, key, giveUpMs, headers = {}, body = ''} = options;
  const sentMs = performance.now();
  const seen = {id, status: undefined, isWhole: false, body: Buffer.alloc(0)};
  return new Promise(resolve => {
    const socket = open(address);
    options.onSocket?.(socket);
    const pieces = [];
    const settle = end => {
      clearTimeout(timer);
      socket.destroy();
      resolve({...seen, end, tookMs: performance.now() - sentMs});
    };
    const timer = setTimeout(() => {
      read();
      settle('gave up');
    }, options.waitMs ?? giveUpMs);
    const read = () => Object.assign(seen, readAnswer(Buffer.concat(pieces)));
    socket.on('data', bytes => {
      pieces.push(bytes);
      if (options.isBulk === true && !bytes.includes('0\r\n\r\n')) {
        return;
      }
      read();
      if (seen.isWhole) {
        settle('answered');
      }
    });
    socket.on('close', () => {
      read();
      settle(seen.isWhole ? 'answered' : 'closed');
    });
    const lines = [
      `POST ${path} HTTP/1.1`,
      `Host: ${host}`,
      `Request-Id: ${id}`,
      `Credential: ${key}`,
      `Deadline-Remaining: ${giveUpMs}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
      `Content-Length: ${Buffer.byteLength(body)}`,
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  });
}

/** Reads an answer with a length or in chunks, as far as it has arrived. */
export function readAnswer(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) {
    return {isWhole: false};
  }
  const head = parseHead(bytes.subarray(0, end).toString('latin1'));
  const status = Number(head.line.split(' ')[1]);
  const rest = bytes.subarray(end + 4);
  if (head.headers.get('transfer-encoding') === 'chunked') {
    return {status, headers: head.headers, ...readChunks(rest)};
  }
  const length = Number(head.headers.get('content-length') ?? 0);
  const body = rest.subarray(0, length);
  return {status, headers: head.headers, body, isWhole: body.length === length};
}

function readChunks(bytes) {
  const pieces = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) {
      return {body: Buffer.concat(pieces), isWhole: false};
    }
    const size = Number.parseInt(bytes.subarray(at, lineEnd).toString(), 16);
    if (size === 0) {
      const isWhole = bytes.length >= lineEnd + 4;
      return {body: Buffer.concat(pieces), isWhole};
    }
    const start = lineEnd + 2;
    if (bytes.length < start + size + 2) {
      pieces.push(bytes.subarray(start));
      return {body: Buffer.concat(pieces), isWhole: false};
    }
    pieces.push(bytes.subarray(start, start + size));
    at = start + size + 2;
  }
}
