import {ChooseServer} from '../routing/index.js';
import {Profile} from './workload.js';

/** A disturbance during a run; `atMs` is its virtual time. */
export type SimulationEvent =
  | {
      /** The platform reclaims all servers of a data centre. */
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
      /** One customer sends additional requests for `forMs`. */
      readonly kind: 'flood';
      readonly atMs: number;
      readonly forMs: number;
      readonly customer: string;
      readonly ratePerSecond: number;
    };

/** Parameters of one run. */
export interface SimulationPlan {
  readonly profile: Profile;
  readonly seed: number;
  readonly durationMs: number;
  readonly ratePerSecond: number;
  /** Request rate from a given time on; absent if the rate is constant. */
  readonly rateAfter?: {readonly atMs: number; readonly ratePerSecond: number};
  readonly chooseServer: () => ChooseServer;
  /** Whether hosts refuse requests under overload. */
  readonly usesAdmissionControl: boolean;
  /** Whether running generations are migrated on a reclaim notice, or recomputed later. */
  readonly migratesOnNotice: boolean;
  readonly events: readonly SimulationEvent[];
  /** Model servers per data centre. */
  readonly serversPerCentre: readonly number[];
}
