import {Result} from 'true-myth';

/** Role of a listed host. */
export const HostRole = {ENTRY: 'entry', BACKEND: 'backend'} as const;
export type HostRole = (typeof HostRole)[keyof typeof HostRole];

/** State of a host, as last published by the platform. */
export const HostState = {LIVE: 'live', LEAVING: 'leaving'} as const;
export type HostState = (typeof HostState)[keyof typeof HostState];

/** A host in the platform's list. The list is updated with a delay. */
export interface ListedHost {
  readonly name: string;
  readonly role: HostRole;
  readonly dataCentre: string;
  readonly zone: string;
  readonly machineClass: string;
  /** IP address and port: the peer port of an entry host, the HTTP port of a backend server. */
  readonly address: string;
  readonly state: HostState;
}

/** A notice that the platform will reclaim a host. */
export interface ReclaimNotice {
  readonly host: string;
  /** Time at which the host is reclaimed, in Unix milliseconds. */
  readonly deadlineMs: number;
}

/** Interface of the platform's list of hosts and reclaim notices. */
export interface HostList {
  listHosts(): Promise<Result<readonly ListedHost[], string>>;
  listNotices(): Promise<Result<readonly ReclaimNotice[], string>>;
}
