import {expect} from 'chai';
import {parsePlatformSettings} from '../../platform/settings.js';

const GOOD = `
node = "front-1"
ip = "10.1.0.14"
zone = "tac"
internal_ports = [7600, 7615]
unknown = true
[listen]
front = "10.1.0.14:8221"
ready = "10.1.0.14:8224"
[bounds]
drain_ms = 2000
grace_s = 8
[platform]
address = "10.200.1.7:8225"
`;

describe('parsePlatformSettings', () => {
  it('reads what it needs and ignores the rest', () => {
    const settings = parsePlatformSettings(GOOD).unwrapOrElse(mistake => {
      throw new Error(mistake);
    });
    expect(settings.peersAddress).to.equal('10.1.0.14:7600');
    expect(settings.graceMs).to.equal(8000);
    expect(settings.cloudAddress).to.equal(undefined);
  });

  it('does only the duties that the cloud expects', () => {
    const cloud = '[cloud]\naddress = "10.200.0.35:8225"\nduties = ["usage"]';
    const none = parsePlatformSettings(GOOD).unwrapOr(undefined);
    const some = parsePlatformSettings(`${GOOD}${cloud}`).unwrapOr(undefined);
    expect([none?.reportsUsage, none?.ordersServers]).to.deep.equal([
      false,
      false,
    ]);
    expect([some?.reportsUsage, some?.ordersServers]).to.deep.equal([
      true,
      false,
    ]);
  });

  const bad: Record<string, [string, string]> = {
    'a field that is missing': [GOOD.replace(/node = .*/, ''), 'node'],
    'an address without a port': [
      GOOD.replace('10.1.0.14:8221', '10.1.0.14'),
      'listen.front',
    ],
    'text that is no TOML': [`${GOOD}\n[`, 'TOML'],
  };
  for (const [name, [text, word]] of Object.entries(bad)) {
    it(`names ${name} in one line`, () => {
      const parsed = parsePlatformSettings(text);
      const line = parsed.isErr ? parsed.error : '';
      expect(line).to.contain(word);
      expect(line).to.not.contain('\n');
    });
  }
});
