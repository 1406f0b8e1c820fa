import {Clock} from '../time/index.js';

/** Consecutive failures after which a server is ejected. */
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 2000;
const MAX_EJECTION_MS = 30_000;

/** Failure record of one server. */
interface Health {
  failuresInRow: number;
  ejections: number;
  ejectedUntilMs: number;
}

/**
 * Ejects servers that fail several times in a row. The ejection time doubles
 * with every ejection until the server succeeds once.
 */
export class OutlierDetector {
  private readonly health = new Map<string, Health>();

  constructor(private readonly clock: Clock) {}

  /** Returns whether a server is currently ejected. */
  isEjected(server: string): boolean {
    const health = this.health.get(server);
    return (
      health !== undefined && health.ejectedUntilMs > this.clock.monotonicMs()
    );
  }

  /** Records a success, which clears the failure record of the server. */
  addSuccess(server: string): void {
    this.health.delete(server);
  }

  /** Clears the failure record of a server whose failures had another cause. */
  forget(server: string): void {
    this.health.delete(server);
  }

  /**
   * Records a failure.
   * @param server - The server.
   * @param isUnresponsive - Whether the server could not be reached or stopped
   *   responding. One such failure is enough to eject it.
   * @returns Whether the failure has ejected the server.
   */
  addFailure(server: string, isUnresponsive = false): boolean {
    const health = this.health.get(server) ?? {
      failuresInRow: 0,
      ejections: 0,
      ejectedUntilMs: 0,
    };
    health.failuresInRow++;
    this.health.set(server, health);
    if (!isUnresponsive && health.failuresInRow < FAILURES_TO_EJECT) {
      return false;
    }
    const ejectionMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** health.ejections,
    );
    health.ejections++;
    health.failuresInRow = 0;
    health.ejectedUntilMs = this.clock.monotonicMs() + ejectionMs;
    return true;
  }
}
