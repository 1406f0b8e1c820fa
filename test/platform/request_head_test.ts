import {IncomingMessage} from 'node:http';
import {expect} from 'chai';
import {CatalogView, Route} from '../../src/catalog/index.js';
import {ProblemKind} from '../../src/errors/index.js';
import {acceptHead} from '../../platform/request_head.js';
import {createRoute} from '../relay/route_fixture.js';

const BYTES = Array.from({length: 256}, (_, byte) => byte);
const DELETE = 0x7f;

/** Returns whether a byte can stand in a request target that is sent on. */
function canBeSent(byte: number): boolean {
  return byte > 0x20 && byte !== DELETE;
}

/**
 * Guards against request lines that node:http cannot send on: the caller would get no answer. The
 * head is passed in, since the parser of node:http refuses other bytes on other processors.
 */
describe('acceptHead', () => {
  const route: Route = {...createRoute({prefix: '/a/'}), host: 'desk.example'};
  const view = new CatalogView({
    version: 1,
    routes: [route],
    services: new Map(),
    accounts: [],
    limits: {
      headerBytes: 2000,
      bodyBytes: 1000,
      headerTimeoutMs: 1000,
      idleTimeoutMs: 2000,
    },
  });

  function accept(method: string, url: string) {
    const rawHeaders = ['Host', 'desk.example', 'Request-Id', 'r1'];
    const headers = {host: 'desk.example', 'request-id': 'r1'};
    const message = {method, url, rawHeaders, headers};
    return acceptHead(message as unknown as IncomingMessage, view);
  }

  function isRefused(method: string, url: string): boolean {
    const result = accept(method, url);
    return 'kind' in result && result.kind === ProblemKind.HEADER_INVALID;
  }

  for (const place of ['/a/x?y', '/a/x', '/a/']) {
    it(`refuses bytes that cannot be sent after ${place}`, () => {
      const refused = BYTES.filter(byte =>
        isRefused('GET', `${place}${String.fromCharCode(byte)}z`),
      );
      expect(refused).to.deep.equal(BYTES.filter(byte => !canBeSent(byte)));
    });
  }

  it('refuses an empty target', () => {
    expect(isRefused('GET', '')).to.equal(true);
  });

  it('refuses methods that are no token', () => {
    const refused = BYTES.filter(byte =>
      isRefused(`G${String.fromCharCode(byte)}T`, '/a/x'),
    );
    const tokens = /[!#$%&'*+\-.^_`|~0-9A-Za-z]/;
    const expected = BYTES.filter(
      byte => !tokens.test(String.fromCharCode(byte)),
    );
    expect(refused).to.deep.equal(expected);
  });

  it('accepts an ordinary head', () => {
    expect(accept('POST', '/a/x?y=1')).to.have.property('route');
  });
});
