import {Result} from 'true-myth';
import {FleetServer} from '../fleet/index.js';

/** Parameters of `CopyRun`. */
export interface CopyRunParams {
  readonly requestId: string;
  /** Server where the run is in progress. */
  readonly from: FleetServer;
  readonly to: FleetServer;
  /** Whether the run is stopped, so that it can continue at the other server. */
  readonly stops: boolean;
}

/** Reason why a copy was not made. */
export const CopyFailure = {
  /** The server has no such run, or not yet. */
  NO_RUN: 'no-run',
  FAILED: 'failed',
} as const;
export type CopyFailure = (typeof CopyFailure)[keyof typeof CopyFailure];

/**
 * Copies the memory of a running generation from its server to another one; parts that
 * were copied before are not copied again.
 * @returns The handle of the copy.
 */
export type CopyRun = (
  params: CopyRunParams,
) => Promise<Result<string, CopyFailure>>;
