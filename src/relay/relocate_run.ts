import {Result} from 'true-myth';
import {FleetServer} from '../fleet/index.js';
import {CopyFailure} from './copy_run.js';
import {RunCopy} from './exchange.js';
import {RelayOptions} from './relay_options.js';

/** A stopped run that can continue at another server. */
export interface CopiedRun {
  readonly server: FleetServer;
  readonly copy: RunCopy;
}

/** What a relocation needs to know about the run. */
export interface RelocatingRun {
  readonly requestId: string;
  /** Tells whether the run is still in progress at the server that leaves. */
  readonly isAtSource: () => boolean;
  /** Tells whether a destination is still ready to accept the run. */
  readonly isDestinationReady: (server: FleetServer) => boolean;
  /** Chooses the server where the run continues; absent if there is none. */
  readonly chooseDestination: () => FleetServer | undefined;
  /**
   * Secures the attempt at the destination; returns whether the retry budget allows it. If not,
   * the run goes on where it is.
   */
  readonly secureAttempt: () => boolean;
  /** Called when the run is to be stopped at its server, with the result of that. */
  readonly onStop: (result: Promise<Result<string, CopyFailure>>) => void;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly cancelled: AbortSignal;
}

/**
 * Time before a server leaves at which its streams are relocated, in milliseconds. Runs
 * that complete before then need no copy; the copies of all streams are made in turn.
 */
const RELOCATION_LEAD_MS = 1700;
/**
 * Time that a leaving server is assumed to keep serving if it does not report it, in
 * milliseconds.
 */
const DEFAULT_REMAINING_MS = 2000;
/** Delay before the next copy if the server has not begun the run, in milliseconds. */
const NO_RUN_RETRY_MS = 150;
/** Copy attempts before a relocation is abandoned. */
const MAX_COPIES = 8;

/**
 * Relocates a run from a server that leaves: its memory is copied while it runs, then the
 * run is stopped and the rest is copied.
 * @param options - Dependencies of the relay.
 * @param from - The server that leaves.
 * @param run - The run.
 * @returns Where the run can continue; absent if it ended first or cannot be relocated.
 */
export async function relocateRun(
  options: RelayOptions,
  from: FleetServer,
  run: RelocatingRun,
): Promise<CopiedRun | undefined> {
  const {backoffs, clock, copyRun} = options;
  const {requestId, cancelled} = run;
  const leavesMs = from.leavesMs ?? DEFAULT_REMAINING_MS;
  await clock.sleep(Math.max(0, leavesMs - RELOCATION_LEAD_MS), cancelled);
  for (let tries = 0; tries < MAX_COPIES; tries++) {
    // A request for a copy is a request to the server, too.
    const backoffMs = backoffs.getRemainingMs(from.id);
    if (backoffMs > 0) {
      await clock.sleep(backoffMs, cancelled);
    }
    const to = run.chooseDestination();
    if (to === undefined || !run.isAtSource()) {
      return undefined;
    }
    const preCopy = await copyRun({requestId, from, to, stops: false});
    // A stopped run can resume only at this destination, so check it before stopping.
    if (preCopy.isOk && run.isAtSource() && run.isDestinationReady(to)) {
      if (!run.secureAttempt()) {
        return undefined;
      }
      const stopping = copyRun({requestId, from, to, stops: true});
      run.onStop(stopping);
      const finalCopy = await stopping;
      if (finalCopy.isOk) {
        return {
          server: to,
          copy: {source: from.address, handle: finalCopy.value},
        };
      }
    }
    const hasNoRunYet = preCopy.isErr && preCopy.error === CopyFailure.NO_RUN;
    await clock.sleep(hasNoRunYet ? NO_RUN_RETRY_MS : 0, cancelled);
  }
  return undefined;
}
