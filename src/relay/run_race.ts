import {FleetServer} from '../fleet/index.js';
import {AttemptOutcome, AttemptResult} from './attempt_result.js';
import {RacingRun} from './racing_run.js';

/** How a run has ended. */
export interface EndedRun {
  /** Id of the server; empty if another host chose it and did not tell. */
  readonly server: string;
  readonly result: AttemptResult;
}

/** Executes a run; resolves when it has ended. */
export type ExecuteRun = (run: RacingRun) => Promise<AttemptResult>;

/** Parameters of a `RunRace`. */
export interface RunRaceParams {
  /** Called with a run that failed while others are in progress. */
  readonly onFailure: (ended: EndedRun) => void;
  /** Called with a run that is closed, since another one is kept. */
  readonly onSuperseded: (run: RacingRun) => void;
  /** Returns whether the caller gets the error response of a run, whatever the others bring. */
  readonly isFinal: (result: AttemptResult) => boolean;
}

/**
 * The runs of one request beside each other. A run whose server is silent goes on until another
 * run has a part of the answer to relay: whichever has one first is kept, and the others are
 * closed. So a run is never given up before its replacement is known to work, and each event of
 * a stream is relayed from one run only.
 */
export class RunRace {
  private readonly runs = new Set<RacingRun>();
  private resolve: (ended: EndedRun) => void = () => undefined;
  private reject: (error: unknown) => void = () => undefined;

  constructor(private readonly params: RunRaceParams) {}

  /** Returns the number of runs in progress. */
  count(): number {
    return this.runs.size;
  }

  /** Returns whether the server of each run is silent, and there is one. */
  areAllSilent(): boolean {
    return (
      this.runs.size > 0 &&
      [...this.runs].every(({isSilent, hasEnded}) => isSilent && !hasEnded)
    );
  }

  /** Returns whether a run is in progress at a server. */
  isAt(server: string): boolean {
    return [...this.runs].some(run => run.server === server && !run.hasEnded);
  }

  /** Returns the servers of the runs in progress, as far as they are known. */
  listServers(): string[] {
    return [...this.runs].map(({server}) => server).filter(Boolean);
  }

  /**
   * Begins a run. Resolves once it, or one that was begun beside it, is complete, or all have
   * ended; the result is that of the complete one, or of the last one.
   */
  begin(server: string, execute: ExecuteRun): Promise<EndedRun> {
    return new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
      this.beginBeside(server, execute);
    });
  }

  /** Begins a run beside those in progress. */
  beginBeside(server: string, execute: ExecuteRun): void {
    const run = new RacingRun(server, kept => this.keep(kept));
    this.runs.add(run);
    execute(run).then(
      result => this.handleEnd(run, result),
      (error: unknown) => this.handleError(run, error),
    );
  }

  /** Aborts the run at an incarnation of a server that is known to have terminated. */
  abortAt({id}: FleetServer): void {
    for (const run of this.runs) {
      if (run.server === id) {
        run.lose();
      }
    }
  }

  /** Reroutes the runs after this host has lost its connections to their servers. */
  reroute(): void {
    for (const {reroute} of this.runs) {
      reroute();
    }
  }

  private keep(kept: RacingRun): boolean {
    if (!this.runs.has(kept)) {
      return false;
    }
    kept.isSilent = false;
    for (const run of this.runs) {
      if (run !== kept) {
        this.runs.delete(run);
        run.supersede();
        this.params.onSuperseded(run);
      }
    }
    return true;
  }

  private handleError(run: RacingRun, error: unknown): void {
    // The request ends here, so that no other run may go on with its answer.
    this.keep(run);
    this.runs.delete(run);
    this.reject(error);
  }

  private handleEnd(run: RacingRun, result: AttemptResult): void {
    if (!this.runs.has(run)) {
      return;
    }
    const ended = {server: result.forwardedTo ?? run.server, result};
    const isDecided =
      result.outcome === AttemptOutcome.DONE || this.params.isFinal(result);
    if (isDecided) {
      this.keep(run);
    }
    this.runs.delete(run);
    if (isDecided || this.runs.size === 0) {
      this.resolve(ended);
    } else {
      this.params.onFailure(ended);
    }
  }
}
