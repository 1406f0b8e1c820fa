import {Result} from 'true-myth';
import {TableFailure} from '../table/index.js';
import {Rollout} from './rollout.js';

/** A rollout and the version of its row. */
export interface StoredRollout {
  readonly rollout: Rollout;
  /** Version of the row; 0 if it does not exist. */
  readonly version: number;
}

/** Stores rollouts beyond the lifetime of their holder and reports them to operators. */
export interface RolloutStore {
  /** See `TableService.getEra`. */
  getEra(): number | undefined;
  /** Reads the rollout of a service; `undefined` if there is none. */
  read(
    service: string,
  ): Promise<Result<StoredRollout | undefined, TableFailure>>;
  /**
   * Writes a rollout and its report to operators atomically.
   * @param rollout - The rollout.
   * @param version - Version that its row must have; 0 if it must not exist.
   * @returns The new version of the row.
   */
  write(
    rollout: Rollout,
    version: number,
  ): Promise<Result<number, TableFailure>>;
}
