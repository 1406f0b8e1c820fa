/** The daemon: one entry host, put together. */
export {createContainer} from './create_container.js';
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
export {createSelf} from './self.js';
export type {Self} from './self.js';
