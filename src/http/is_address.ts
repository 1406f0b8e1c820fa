import {isIPv4} from 'node:net';
import {parseAddress} from './parse_address.js';

const MAX_PORT = 65_535;
const PORT = /:\d{1,5}$/;

/** Returns whether a text is an IP address and a port to which a connection can be opened. */
export function isAddress(text: string): boolean {
  const {host, port} = parseAddress(text);
  return PORT.test(text) && isIPv4(host) && port > 0 && port <= MAX_PORT;
}
