import {expect} from 'chai';
import {
  formatExampleSettings,
  parseSettings,
  SETTING_DESCRIPTIONS,
} from '../../src/settings/index.js';

const VALID = formatExampleSettings();

describe('parseSettings', () => {
  function parseChanged(change: (text: string) => string): string[] {
    const parsed = parseSettings(change(VALID));
    return parsed.isErr ? parsed.error : [];
  }

  it('accepts the example file, which contains every setting', () => {
    expect(parseChanged(text => text)).to.deep.equal([]);
    for (const {key} of SETTING_DESCRIPTIONS) {
      expect(VALID).to.include(`\n${key.split('.')[1]} = `);
    }
  });

  it('fills in the defaults of settings that are left out', () => {
    const required = SETTING_DESCRIPTIONS.filter(s => s.default === undefined);
    const tables = new Map<string, string[]>();
    for (const {key} of required) {
      const [table = '', name = ''] = key.split('.');
      const line = new RegExp(`^${name} = .*$`, 'm').exec(
        VALID.slice(VALID.indexOf(`[${table}]`)),
      );
      tables.set(table, [...(tables.get(table) ?? []), line?.[0] ?? '']);
    }
    const text = [...tables]
      .map(([table, lines]) => `[${table}]\n${lines.join('\n')}`)
      .join('\n');
    const parsed = parseSettings(text);
    expect(parsed.isOk, JSON.stringify(parsed)).to.equal(true);
    const settings = parsed.unwrapOr(undefined) as unknown as Record<
      string,
      Record<string, unknown>
    >;
    for (const {key, default: fallback} of SETTING_DESCRIPTIONS) {
      const [table = '', name = ''] = key.split('.');
      if (fallback !== undefined && /^\d+$/.test(fallback)) {
        expect(settings[table]?.[name], key).to.equal(Number(fallback));
      }
    }
  });

  it('reports three errors at once, each with line, key and remedy', () => {
    const errors = parseChanged(text =>
      text
        .replace('heartbeat_ms = 1000', 'heartbeat_ms = "soon"')
        .replace('[journal]', '[journal]\nretention_hours = 3')
        .replace('key = "replace-this-shared-key"', 'key = "short"'),
    );
    expect(errors).to.have.length(3);
    const all = errors.join('\n');
    expect(all).to.match(/^line \d+: journal.retention_hours: no such/m);
    expect(all).to.match(/^line \d+: peers.heartbeat_ms: .*whole number/m);
    expect(all).to.match(/^line \d+: peers.key: .*at least 16 characters/m);
  });

  it('reports a missing table and how to correct it', () => {
    const errors = parseChanged(text =>
      text.replace(/\[peers\][\s\S]*\[platform\]/, '[platform]'),
    );
    expect(errors.join()).to.include('peers');
    expect(errors.join()).to.include('add this table');
  });

  it('reports the line of a syntax error', () => {
    const errors = parseChanged(() => '[host]\nname = tac');
    expect(errors.join()).to.match(/^line 2: .*correct the TOML/);
  });
});
