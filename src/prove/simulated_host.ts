import {BookDirectory, Bookkeeper} from '../journal/index.js';
import {AtMostOnceCalls} from '../service/index.js';
import {Gate} from './gate.js';

/** One incarnation of a simulated entry host. */
export interface SimulatedHost {
  readonly name: string;
  readonly incarnation: string;
  readonly gate: Gate;
  readonly bookkeeper: Bookkeeper;
  readonly calls: AtMostOnceCalls;
  readonly directory: BookDirectory;
  readonly stop: AbortController;
  leaving: boolean;
  cut: boolean;
  /** Number of callers' requests in flight. */
  inFlight: number;
}

/** Returns whether a host is running, is not leaving and is reachable by others. */
export function isLive({gate, leaving, cut}: SimulatedHost): boolean {
  return gate.isRunning() && !leaving && !cut;
}
