import {expect} from 'chai';
import {parsePlatformSettings} from '../../platform/settings.js';

const VALID_TEXT = `
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
  it('reads the fields in use and ignores others', () => {
    const settings = parsePlatformSettings(VALID_TEXT).unwrapOrElse(error => {
      throw new Error(error);
    });
    expect(settings.peersAddress).to.equal('10.1.0.14:7600');
    expect(settings.graceMs).to.equal(8000);
    expect(settings.cloudAddress).to.equal(undefined);
  });

  it('enables only the duties that the cloud lists', () => {
    const cloud = '[cloud]\naddress = "10.200.0.35:8225"\nduties = ["usage"]';
    const none = parsePlatformSettings(VALID_TEXT).unwrapOr(undefined);
    const some = parsePlatformSettings(`${VALID_TEXT}${cloud}`).unwrapOr(
      undefined,
    );
    expect([none?.reportsUsage, none?.ordersServers]).to.deep.equal([
      false,
      false,
    ]);
    expect([some?.reportsUsage, some?.ordersServers]).to.deep.equal([
      true,
      false,
    ]);
  });

  const invalidTexts: Record<string, [string, string]> = {
    'a field that is missing': [VALID_TEXT.replace(/node = .*/, ''), 'node'],
    'an address without a port': [
      VALID_TEXT.replace('10.1.0.14:8221', '10.1.0.14'),
      'listen.front',
    ],
    'text that is not TOML': [`${VALID_TEXT}\n[`, 'TOML'],
  };
  for (const [name, [text, expected]] of Object.entries(invalidTexts)) {
    it(`names ${name} in one line`, () => {
      const parsed = parsePlatformSettings(text);
      const line = parsed.isErr ? parsed.error : '';
      expect(line).to.contain(expected);
      expect(line).to.not.contain('\n');
    });
  }
});
