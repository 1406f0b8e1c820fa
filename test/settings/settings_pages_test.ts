import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {
  formatExampleSettings,
  formatSettingsTable,
} from '../../src/settings/index.js';

describe('pages generated from the settings schema', () => {
  it('the example file is up to date', async () => {
    const text = await readFile('examples/sedgefalld.toml', 'utf8');
    expect(text).to.equal(formatExampleSettings());
  });

  it('the table in docs/SETTINGS.md is up to date', async () => {
    const text = await readFile('docs/SETTINGS.md', 'utf8');
    const collapsePadding = (page: string) => page.replaceAll(/[ -]{2,}/g, ' ');
    expect(collapsePadding(text)).to.include(
      collapsePadding(formatSettingsTable()),
    );
  });
});
