import {FleetServer} from '../fleet/index.js';
import {CopyFailure} from './copy_run.js';
import {RunCopy} from './exchange.js';
import {RelayOptions} from './relay_options.js';

/** A run that has stopped and can go on at another server. */
export interface CopiedRun {
  readonly server: FleetServer;
  readonly copy: RunCopy;
}

/** What a move depends on, of the run that is moved. */
export interface MovedRun {
  readonly requestId: string;
  /** Tells whether the run is still at the server that leaves. */
  readonly isThere: () => boolean;
  /** Tells whether a destination is still ready to accept the run. */
  readonly isDestinationReady: (server: FleetServer) => boolean;
  /** Chooses where it goes on. */
  readonly chooseDestination: () => FleetServer | undefined;
  /** Aborted when the run has ended. */
  readonly ended: AbortSignal;
}

/**
 * Time before a server leaves at which its streams are moved, in milliseconds:
 * what ends before costs nothing, and copies of all streams take turns.
 */
const MOVE_AHEAD_MS = 1700;
/** Time that a server which does not say how long still serves. */
const DEFAULT_LEAVES_MS = 2000;
/** Pause before a run that has not begun is looked for again. */
const NO_RUN_MS = 150;
/** Copies tried before a stream is left to its luck. */
const MAX_COPIES = 8;

/**
 * Moves a run off a server that leaves: its memory is copied while it runs, then
 * it is stopped and what is new is copied.
 * @param options - The relay's.
 * @param from - The server that leaves.
 * @param run - The run.
 * @returns Where it can go on; absent when it ended first or cannot be moved.
 */
export async function copyAway(
  options: RelayOptions,
  from: FleetServer,
  run: MovedRun,
): Promise<CopiedRun | undefined> {
  const {clock, copyRun} = options;
  const {requestId, ended} = run;
  const leavesMs = from.leavesMs ?? DEFAULT_LEAVES_MS;
  await clock.sleep(Math.max(0, leavesMs - MOVE_AHEAD_MS), ended);
  for (let tries = 0; tries < MAX_COPIES; tries++) {
    const to = run.chooseDestination();
    if (to === undefined || !run.isThere()) {
      return undefined;
    }
    const ahead = await copyRun({requestId, from, to, stops: false});
    // A stopped run can resume only at this destination, so check it before stopping.
    if (ahead.isOk && run.isThere() && run.isDestinationReady(to)) {
      const last = await copyRun({requestId, from, to, stops: true});
      if (last.isOk) {
        return {server: to, copy: {source: from.address, handle: last.value}};
      }
    }
    const isEarly = ahead.isErr && ahead.error === CopyFailure.NO_RUN;
    await clock.sleep(isEarly ? NO_RUN_MS : 0, ended);
  }
  return undefined;
}
