import {SettingDescription, SETTING_DESCRIPTIONS} from './settings_schema.js';

/**
 * Values in the example file for the required settings, and for
 * `peers.advertised`, whose default is another setting.
 */
const EXAMPLE_VALUES: Readonly<Record<string, string>> = {
  'host.name': '"tac-entry-1"',
  'host.data_centre': '"tac-hall"',
  'callers.address': '"127.0.0.1:8080"',
  'operators.address': '"127.0.0.1:8081"',
  'operators.key_hashes':
    '["0000000000000000000000000000000000000000000000000000000000000000"]',
  'peers.address': '"127.0.0.1:7100"',
  'peers.advertised': '"127.0.0.1:7100"',
  'peers.key': '"replace-this-shared-key"',
  'platform.table_url': '"http://127.0.0.1:7400/table"',
  'platform.hosts_url': '"http://127.0.0.1:7400/platform"',
};

/** Returns the text of the example settings file, generated from the descriptions. */
export function formatExampleSettings(): string {
  const lines = [
    '# Settings of sedgefalld: every setting, with its unit and default.',
    '# Check a file with "sedgefalld --settings FILE --check-settings".',
  ];
  let table = '';
  for (const setting of SETTING_DESCRIPTIONS) {
    const [next = '', key = ''] = setting.key.split('.');
    if (next !== table) {
      table = next;
      lines.push('', `[${table}]`);
    }
    lines.push(...formatSetting(setting, key));
  }
  return lines.join('\n') + '\n';
}

/** Returns the table of docs/SETTINGS.md, generated from the descriptions. */
export function formatSettingsTable(): string {
  const lines = [
    '| setting | what it is | unit | default | allowed |',
    '| --- | --- | --- | --- | --- |',
  ];
  for (const setting of SETTING_DESCRIPTIONS) {
    const {key, description, unit, allowed} = setting;
    const fallback = setting.default ?? '(required)';
    lines.push(
      `| \`${key}\` | ${description} | ${unit} | ${fallback} | ${allowed} |`,
    );
  }
  return lines.join('\n') + '\n';
}

function formatSetting(setting: SettingDescription, key: string): string[] {
  const note = setting.default === undefined ? 'required' : 'default';
  const value = EXAMPLE_VALUES[setting.key] ?? setting.default ?? '""';
  return [
    `# ${setting.description} (${setting.unit}; ${note}${
      setting.default === undefined ? '' : `: ${setting.default}`
    }; allowed: ${setting.allowed})`,
    `${key} = ${value}`,
  ];
}
