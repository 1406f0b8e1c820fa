import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {
  formatExampleSettings,
  formatSettingsTable,
} from '../../src/settings/index.js';

describe('pages made from the settings schema', () => {
  it('the example file is up to date', async () => {
    const text = await readFile('examples/sedgefalld.toml', 'utf8');
    expect(text).to.equal(formatExampleSettings());
  });

  it('the table in docs/SETTINGS.md has every setting and default', async () => {
    const text = await readFile('docs/SETTINGS.md', 'utf8');
    const squeeze = (page: string) => page.replaceAll(/[ -]{2,}/g, ' ');
    expect(squeeze(text)).to.include(squeeze(formatSettingsTable()));
  });
});
