/** Container identifiers of components that have no class of their own. */
import {ServiceIdentifier} from 'inversify';
import {FeatureModes} from '../features/index.js';
import {OrderServers} from '../provisioning/index.js';
import {Log} from '../log/index.js';
import {HostAddress} from '../peering/index.js';
import {ConnectionOutcome} from '../http/index.js';
import {CheckTermination} from '../quarantine/index.js';
import {Random} from '../random/index.js';
import {CopyRun, Exchange} from '../relay/index.js';
import {RolloutStore} from '../rollout/index.js';
import {RowReplica} from '../replica/index.js';
import {TableService} from '../table/index.js';
import {Clock} from '../time/index.js';
import {SendUsage} from '../usage/index.js';
import {RelayHostSettings} from './relay_host_settings.js';

/** Returns whether this host has an idle connection to a server, by the server's id. */
export type HasIdleConnection = (server: string) => boolean;

/** Tries to open a connection to an address within a time in milliseconds. */
export type TryConnection = (
  address: string,
  timeoutMs: number,
) => Promise<ConnectionOutcome>;

/** Closes the idle connections to a server, by the server's id. */
export type CloseIdle = (server: string) => void;

/** Returns the current settings. */
export type GetSettings = () => RelayHostSettings;

export const CLOCK: ServiceIdentifier<Clock> = Symbol('Clock');
export const LOG: ServiceIdentifier<Log> = Symbol('Log');
export const RANDOM: ServiceIdentifier<Random> = Symbol('Random');
export const GET_SETTINGS: ServiceIdentifier<GetSettings> =
  Symbol('GetSettings');
/** Modes of the features that the operator has set. */
export const FEATURE_MODES: ServiceIdentifier<FeatureModes> =
  Symbol('FeatureModes');
export const SELF: ServiceIdentifier<HostAddress> = Symbol('HostAddress');
export const INCARNATION: ServiceIdentifier<string> = Symbol('incarnation');
export const TABLE: ServiceIdentifier<TableService> = Symbol('TableService');
export const EXCHANGE: ServiceIdentifier<Exchange> = Symbol('Exchange');
export const HAS_IDLE_CONNECTION: ServiceIdentifier<HasIdleConnection> =
  Symbol('HasIdleConnection');
export const TRY_CONNECTION: ServiceIdentifier<TryConnection> =
  Symbol('TryConnection');
export const CLOSE_IDLE: ServiceIdentifier<CloseIdle> = Symbol('CloseIdle');
export const COPY_RUN: ServiceIdentifier<CopyRun> = Symbol('CopyRun');
export const CHECK_TERMINATION: ServiceIdentifier<CheckTermination> =
  Symbol('CheckTermination');
export const ROLLOUT_STORE: ServiceIdentifier<RolloutStore> =
  Symbol('RolloutStore');
export const SEND_USAGE: ServiceIdentifier<SendUsage> = Symbol('SendUsage');
export const ORDER_SERVERS: ServiceIdentifier<OrderServers> =
  Symbol('OrderServers');
/** Replica of the rows that contain the configuration. */
export const CATALOG_ROWS: ServiceIdentifier<RowReplica> =
  Symbol('CatalogRows');
/** Replica of the rows in which servers register themselves. */
export const SERVER_ROWS: ServiceIdentifier<RowReplica> = Symbol('ServerRows');
