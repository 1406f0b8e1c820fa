// Small helpers for stand-ins on loopback.
import {connect, createServer} from 'node:net';

export const LOOPBACK = '127.0.0.1';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Starts a server on a free port; returns its address. */
export async function listen(server, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, resolve);
  });
  return `${LOOPBACK}:${server.address().port}`;
}

export function stopServer(server) {
  server.close();
  server.closeAllConnections?.();
}

/** Range of the ports of hosts: below those that the system gives to outgoing channels. */
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;
const taken = new Set();

/** Finds free ports; none is returned twice. */
export async function findPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port =
      FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (!taken.has(port) && (await isFree(port))) {
      taken.add(port);
      ports.push(port);
    }
  }
  return ports;
}

async function isFree(port) {
  const server = createServer();
  try {
    await listen(server, port);
  } catch {
    return false;
  }
  await new Promise(resolve => server.close(resolve));
  return true;
}

export function open(address) {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port), noDelay: true});
  socket.on('error', () => undefined);
  return socket;
}

/** Parses the HTTP/1.1 requests or answers that arrive on a channel, with lengths or chunks. */
export class Parser {
  constructor(onMessage) {
    this.onMessage = onMessage;
    this.bytes = Buffer.alloc(0);
  }

  add(bytes) {
    this.bytes = Buffer.concat([this.bytes, bytes]);
    for (;;) {
      const end = this.bytes.indexOf('\r\n\r\n');
      if (end < 0) {
        return;
      }
      const head = parseHead(this.bytes.subarray(0, end).toString('latin1'));
      const length = Number(head.headers.get('content-length') ?? 0);
      if (this.bytes.length < end + 4 + length) {
        return;
      }
      const body = this.bytes.subarray(end + 4, end + 4 + length);
      this.bytes = this.bytes.subarray(end + 4 + length);
      this.onMessage({...head, body});
    }
  }
}

export function parseHead(text) {
  const [line, ...lines] = text.split('\r\n');
  const headers = new Map();
  for (const entry of lines) {
    const colon = entry.indexOf(':');
    headers.set(
      entry.slice(0, colon).trim().toLowerCase(),
      entry.slice(colon + 1).trim(),
    );
  }
  return {line, headers};
}
