/** Whether a server takes new work. */
export const FleetState = {
  READY: 'ready',
  /** It has said that it leaves. */
  DRAINING: 'draining',
  /** Its registration has ended; it may still work on what it has. */
  GONE: 'gone',
  /** It has started again: what it had and what ran there is lost. */
  ENDED: 'ended',
} as const;
export type FleetState = (typeof FleetState)[keyof typeof FleetState];

/** A backend server as it registered itself. */
export interface FleetServer {
  /** Differs for every start of the server; see `createStartId`. */
  readonly id: string;
  /** What it calls itself, at every start. */
  readonly name: string;
  /** Unix millisecond of its start; 0 where it does not say. */
  readonly startedMs: number;
  readonly service: string;
  /** Version of its software; absent where it does not say. */
  readonly version?: string;
  /** IP number and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests it works on at once. */
  readonly slots: number;
  readonly state: FleetState;
  /** Whether the cloud may take it back. */
  readonly reclaimable: boolean;
  /** Time until it is taken back, as it last said, in milliseconds. */
  readonly leavesMs?: number;
}

/**
 * Makes the id of one start of a server. All that is known of a server is kept
 * by this id, so that nothing known of one start counts for the next.
 * @param name - What the server calls itself.
 * @param startedMs - Unix millisecond of the start; 0 where it does not say.
 */
export function createStartId(name: string, startedMs: number): string {
  return startedMs === 0 ? name : `${name}@${startedMs}`;
}
