import {AttemptAborted, AttemptEnd} from './attempt_end.js';

/** Created once: an error per request would cost a stack trace each. */
const SERVER_TERMINATED = new AttemptAborted(
  AttemptEnd.SERVER_TERMINATED,
  'the server has terminated',
);
const SUPERSEDED = new AttemptAborted(
  AttemptEnd.SUPERSEDED,
  'another run went on first',
);

/** One of the runs of a request that are in progress. */
export class RacingRun {
  /** Whether the server has sent nothing for so long that another run may be begun. */
  isSilent = false;
  /** Whether any byte of the request may have been sent. */
  wasSent = false;
  /** Whether the attempt has ended, though what its end shows is still examined. */
  hasEnded = false;
  /** See `RelayAttempt.reroute`. */
  reroute: () => void = () => undefined;
  private readonly lost = new AbortController();
  private readonly superseded = new AbortController();

  /**
   * @param server - Id of the server; empty until it is known, if another host chooses it.
   * @param keepOver - Closes the other runs; returns whether this run is kept.
   */
  constructor(
    public server: string,
    private readonly keepOver: (run: RacingRun) => boolean,
  ) {}

  /** Aborted when the server is known to have terminated, even if it is still connected. */
  get serverLost(): AbortSignal {
    return this.lost.signal;
  }

  /** Aborted when another run is kept in place of this one. */
  get supersededBy(): AbortSignal {
    return this.superseded.signal;
  }

  /**
   * Keeps this run and closes all others, before a part of its answer is relayed.
   * @throws AttemptAborted - If another run was kept.
   */
  keep(): void {
    if (!this.keepOver(this)) {
      throw SUPERSEDED;
    }
  }

  /** Aborts the run, whose server is known to have terminated. */
  lose(): void {
    this.lost.abort(SERVER_TERMINATED);
  }

  /** Aborts the run, since another one is kept. */
  supersede(): void {
    this.superseded.abort(SUPERSEDED);
  }
}
