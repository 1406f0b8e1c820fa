// A requester's kept channel: one request at a time; the next one only after a whole answer.
import {connect} from 'node:net';
import {parseHead, splitAddress} from './net.mjs';

export class Channel {
  received = Buffer.alloc(0);
  isClosed = false;
  isEnded = false;
  onClose = () => undefined;
  pending = undefined;

  constructor(address, system) {
    this.system = system;
    this.socket = connect({...splitAddress(address), noDelay: true});
    this.socket.on('error', error => (this.error = error.code));
    this.socket.on('data', bytes => this.add(bytes));
    this.socket.on('end', () => (this.isEnded = true));
    this.socket.on('close', () => {
      this.isClosed = true;
      this.settle({
        how: `channel closed${this.error ? ` (${this.error})` : ''}`,
      });
      this.onClose();
    });
  }

  connected() {
    return new Promise((resolve, reject) => {
      this.socket.once('connect', resolve);
      this.socket.once('error', reject);
    });
  }

  /** May be used again: the peer has not been seen to close it, and did not announce to. */
  isUsable() {
    return !this.isClosed && !this.isEnded && !this.closesAfter;
  }

  /** Sends a request; resolves with its answer, or how the channel ended. */
  send(text) {
    return new Promise(resolve => {
      const sentMs = this.system.nowMs();
      this.pending = {resolve, sentMs, events: ''};
      this.socket.write(text);
    });
  }

  close() {
    this.socket.destroy();
  }

  settle(result) {
    const {pending} = this;
    this.pending = undefined;
    pending?.resolve({
      sentMs: pending.sentMs,
      endMs: this.system.nowMs(),
      partial: this.received.toString('latin1'),
      ...result,
    });
  }

  add(bytes) {
    this.received = Buffer.concat([this.received, bytes]);
    const head = parseHead(this.received);
    if (head === undefined) {
      return;
    }
    const rest = this.received.subarray(head.length);
    const isEmpty = [204, 304].includes(Number(head.line.split(' ')[1]));
    const body = isEmpty ? {length: 0, text: ''} : readBody(head.headers, rest);
    if (body === undefined) {
      return;
    }
    this.received = rest.subarray(body.length);
    const connection = (head.headers['connection'] ?? '').toLowerCase();
    this.closesAfter = connection.includes('close');
    this.settle({
      how: 'answered',
      status: Number(head.line.split(' ')[1]),
      headers: head.headers,
      body: body.text,
      isFollowed: this.received.length > 0,
    });
  }
}

/** Reads a whole body; `undefined` until it has arrived. */
function readBody(headers, bytes) {
  const length = headers['content-length'];
  if (length !== undefined) {
    return bytes.length < Number(length)
      ? undefined
      : {
          length: Number(length),
          text: bytes.subarray(0, Number(length)).toString('latin1'),
        };
  }
  let at = 0;
  let text = '';
  for (;;) {
    const end = bytes.indexOf('\r\n', at);
    if (end < 0) {
      return undefined;
    }
    const size = parseInt(bytes.subarray(at, end).toString('latin1'), 16);
    if (bytes.length < end + 2 + size + 2) {
      return undefined;
    }
    if (size === 0) {
      return {length: end + 4, text};
    }
    text += bytes.subarray(end + 2, end + 2 + size).toString('latin1');
    at = end + 2 + size + 2;
  }
}

/** Formats a request as requesters send it. */
export function formatRequest({
  method,
  path,
  id,
  deadlineMs,
  headers = [],
  body = '',
}) {
  return [
    `${method} ${path} HTTP/1.1`,
    'Host: desk.example',
    `Request-Id: ${id}`,
    `Deadline-Remaining: ${deadlineMs}`,
    'Credential: n73hh2b9wu3fexd9dn',
    ...headers,
    ...(method === 'GET' ? [] : [`Content-Length: ${body.length}`]),
    '',
    body,
  ].join('\r\n');
}
