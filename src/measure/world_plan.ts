import {ChooseServer} from '../routing/index.js';
import {Profile} from './workload.js';

/** Something that happens to the system during a run. */
export type WorldEvent =
  | {
      /** The platform takes back the servers of a data centre. */
      readonly kind: 'reclaim';
      readonly atMs: number;
      readonly dataCentre: number;
      readonly noticeMs: number;
    }
  | {
      /** One server becomes slower by a factor, without failing. */
      readonly kind: 'slow';
      readonly atMs: number;
      readonly server: number;
      readonly factor: number;
    }
  | {
      /** One customer sends more, for a while. */
      readonly kind: 'flood';
      readonly atMs: number;
      readonly forMs: number;
      readonly customer: string;
      readonly ratePerSecond: number;
    };

/** What a run consists of. */
export interface WorldPlan {
  readonly profile: Profile;
  readonly seed: number;
  readonly durationMs: number;
  readonly ratePerSecond: number;
  /** Load from this time on; absent when it stays the same. */
  readonly rateAfter?: {readonly atMs: number; readonly ratePerSecond: number};
  readonly chooseServer: () => ChooseServer;
  readonly admits: boolean;
  /** Whether running generations are moved on notice, or recomputed later. */
  readonly movesOnNotice: boolean;
  readonly events: readonly WorldEvent[];
  /** Model servers per data centre. */
  readonly serversPerCentre: readonly number[];
}
