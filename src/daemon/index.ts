/** The daemon that runs on each entry host, and its dependency injection. */
export {ConfigurationFeed} from './configuration_feed.js';
export {createContainer} from './container/create_container.js';
export {Daemon} from './daemon.js';
export {
  CLIENTS,
  CLOCK,
  HOST_LIST,
  LOG,
  RANDOM,
  SELF,
  SETTINGS,
  TABLE,
} from './identifiers.js';
export {PlatformWatcher} from './platform_watcher.js';
export {createSelf} from './self.js';
export type {Self} from './self.js';
