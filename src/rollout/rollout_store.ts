import {Result} from 'true-myth';
import {TableFailure} from '../table/index.js';
import {Rollout} from './rollout.js';

/** A roll-out, and the version of its row. */
export interface StoredRollout {
  readonly rollout: Rollout;
  /** 0 for none. */
  readonly version: number;
}

/** Where roll-outs outlive their holder, and operators are told of them. */
export interface RolloutStore {
  /** Reads the roll-out of a service; nothing where there is none. */
  read(
    service: string,
  ): Promise<Result<StoredRollout | undefined, TableFailure>>;
  /**
   * Writes a roll-out, and what operators are told of it, both or neither.
   * @param rollout - The roll-out.
   * @param version - Version that its row must have; 0 where it must not exist.
   * @returns The version that it has now.
   */
  write(
    rollout: Rollout,
    version: number,
  ): Promise<Result<number, TableFailure>>;
}
