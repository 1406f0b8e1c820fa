/** Settings of the daemon: their schema, validation and example file. */
export {formatExampleSettings, formatSettingsTable} from './format_example.js';
export {parseSettings} from './parse_settings.js';
export {SETTING_DESCRIPTIONS} from './settings_schema.js';
export type {SettingDescription, Settings} from './settings_schema.js';
