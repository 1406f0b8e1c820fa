/** Service identifiers of bindings that have no class of their own. */
import {ServiceIdentifier} from 'inversify';
import {Log} from '../log/index.js';
import {HostList} from '../host_list/index.js';
import {TableService} from '../table/index.js';
import {Random} from '../random/index.js';
import {ServerClients} from '../routing/index.js';
import {Settings} from '../settings/index.js';
import {Clock} from '../time/index.js';
import {Self} from './self.js';

export const CLOCK: ServiceIdentifier<Clock> = Symbol('Clock');
export const LOG: ServiceIdentifier<Log> = Symbol('Log');
export const RANDOM: ServiceIdentifier<Random> = Symbol('Random');
export const SETTINGS: ServiceIdentifier<Settings> = Symbol('Settings');
export const SELF: ServiceIdentifier<Self> = Symbol('Self');
export const TABLE: ServiceIdentifier<TableService> = Symbol('TableService');
export const HOST_LIST: ServiceIdentifier<HostList> = Symbol('HostList');
export const CLIENTS: ServiceIdentifier<ServerClients> =
  Symbol('ServerClients');
