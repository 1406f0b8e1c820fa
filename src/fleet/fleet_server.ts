/** State of a server: whether it is registered and takes new work. */
export const FleetState = {
  READY: 'ready',
  /** It has announced that it leaves, and takes no new work. */
  DRAINING: 'draining',
  /** Its registration has ended. It may still process its requests. */
  UNREGISTERED: 'gone',
  /**
   * A later incarnation has registered: its cache and everything that ran there
   * is lost.
   */
  TERMINATED: 'ended',
} as const;
export type FleetState = (typeof FleetState)[keyof typeof FleetState];

/** A backend server as it has registered itself. */
export interface FleetServer {
  /** Id of the incarnation; see `createIncarnationId`. */
  readonly id: string;
  /** Name of the server, the same for all its incarnations. */
  readonly name: string;
  /** Start time in Unix milliseconds; 0 if not reported. */
  readonly startedMs: number;
  readonly service: string;
  /** Version of its software; absent if not reported. */
  readonly version?: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Number of requests it processes concurrently. */
  readonly slots: number;
  readonly state: FleetState;
  /** Whether the cloud may reclaim it. */
  readonly reclaimable: boolean;
  /** Time until it is reclaimed, as it last reported, in milliseconds. */
  readonly leavesMs?: number;
}

/**
 * Creates the id of one incarnation of a server. Everything that is known about
 * a server is stored under this id, so that nothing is carried over from one
 * incarnation to the next.
 * @param name - Name of the server.
 * @param startedMs - Start time in Unix milliseconds; 0 if not reported.
 */
export function createIncarnationId(name: string, startedMs: number): string {
  return startedMs === 0 ? name : `${name}@${startedMs}`;
}
