import {expect} from 'chai';
import {parsePrompt} from '../../platform/prompt_headers.js';
import {findFault, selectForwardedHeaders} from '../../platform/wire.js';

describe('wire', () => {
  describe('selectForwardedHeaders', () => {
    it('omits headers that only the system may set, in any letter case', () => {
      const raw = [
        ...['HOST', 'h', 'Request-Id', 'r', 'X-Own', '1'],
        ...['CREDENTIAL', 'k', 'Tenant', 't', 'kv-FROM', 'x', 'Hold', 'y'],
        ...['Pin-Duration', '1', 'Kv-Backup', 'z', 'Kv-Fetch', 'z'],
        ...['Expected-Instance', 'i', 'Expected-Version', '2'],
        ...['Request-Priority', '0', 'Deadline-Remaining', '9'],
      ];
      const kept = selectForwardedHeaders(raw).map(([name]) => name);
      expect(kept).to.deep.equal(['HOST', 'Request-Id', 'X-Own']);
    });

    it('omits hop-by-hop headers', () => {
      const raw = [
        ...['Connection', 'close, X-Hop', 'X-Hop', '1', 'TE', 'trailers'],
        ...['Transfer-Encoding', 'chunked', 'Upgrade', 'h2c', 'X-Own', '1'],
      ];
      const kept = selectForwardedHeaders(raw).map(([name]) => name);
      expect(kept).to.deep.equal(['X-Own']);
    });
  });

  describe('findFault', () => {
    const cases: Record<string, readonly string[]> = {
      'a missing id': ['Host', 'h'],
      'two ids': ['Request-Id', '1', 'request-id', '2'],
      'a length and chunks': [
        ...['Request-Id', '1', 'Content-Length', '3'],
        ...['Transfer-Encoding', 'chunked'],
      ],
      'two lengths': [
        ...['Request-Id', '1', 'Content-Length', '3', 'Content-Length', '4'],
      ],
      'an unknown transfer encoding': [
        ...['Request-Id', '1', 'Transfer-Encoding', 'gzip, chunked'],
      ],
      'two keys': ['Request-Id', '1', 'Credential', 'a', 'Credential', 'b'],
    };
    for (const [name, raw] of Object.entries(cases)) {
      it(`finds ${name}`, () => {
        expect(findFault(raw)).to.be.a('string');
      });
    }

    it('finds nothing in a valid head', () => {
      const raw = ['Host', 'h', 'Request-Id', '1', 'Content-Length', '3'];
      expect(findFault(raw)).to.equal(undefined);
    });
  });

  describe('parsePrompt', () => {
    it('reads parts in order', () => {
      expect(parsePrompt('1460,80', 'a1:800, b2:410')).to.deep.equal({
        parts: [
          {id: 'a1', tokens: 800},
          {id: 'b2', tokens: 410},
        ],
        tokensIn: 1460,
        tokensOut: 80,
      });
    });

    for (const text of ['x,1', '-1,2', '5', '']) {
      it(`parses "${text}" as no prompt`, () => {
        expect(parsePrompt(text, 'a:1').parts).to.deep.equal([]);
      });
    }
  });
});
