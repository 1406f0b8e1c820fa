// Small helpers of the stand-ins.
import {createServer} from 'node:net';

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Starts a server on a free loopback port; returns its address. */
export function listen(server) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () =>
      resolve(`127.0.0.1:${server.address().port}`),
    );
  });
}

/** Ports below those that the system gives out by itself. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const given = new Set();

/** Finds free loopback ports, which no later connection gets by chance. */
export async function findPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!given.has(port) && (await isFree(port))) {
      given.add(port);
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

export function splitAddress(address) {
  const [host, port] = address.split(':');
  return {host, port: Number(port)};
}

/** Polls until a condition holds; throws after the limit. */
export async function waitFor(what, limitMs, holds) {
  const endMs = performance.now() + limitMs;
  while (!(await holds())) {
    if (performance.now() > endMs) {
      throw new Error(`not within ${limitMs} ms: ${what}`);
    }
    await wait(25);
  }
}

/** Parses the head of a message; `undefined` until it is whole. */
export function parseHead(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) {
    return undefined;
  }
  const [line, ...lines] = bytes
    .subarray(0, end)
    .toString('latin1')
    .split('\r\n');
  const headers = {};
  for (const text of lines) {
    const colon = text.indexOf(':');
    headers[text.slice(0, colon).toLowerCase()] = text.slice(colon + 1).trim();
  }
  return {line, headers, length: end + 4};
}
