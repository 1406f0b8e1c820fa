import {
  TerminatedServers,
  CORRELATION_WINDOW_MS,
} from './terminated_servers.js';
import {fingerprintRequest} from './fingerprint_request.js';
import {Quarantine} from './quarantine.js';
import {Sender, SenderRuns} from './sender_runs.js';
import {
  nameSenderTermination,
  SenderTermination,
} from './sender_termination.js';
import {nameSender} from './suspicion_rule.js';

/** Dependencies of `WatchedSender`. */
export interface WatchedSenderOptions {
  readonly quarantine: Quarantine;
  readonly terminatedServers: TerminatedServers;
  readonly senderRuns: SenderRuns;
}

/** Retry time while another request of the sender runs as a probe, in milliseconds. */
const PROBE_RETRY_MS = 500;
const EMPTY_BODY = new Uint8Array();

/**
 * Connects the runs of a request's sender with the quarantine. Otherwise a sender whose
 * requests differ each time could terminate any number of servers. A sender with excess
 * losses is blocked, then probed with one request at a time at each host, until one is
 * answered.
 */
export class WatchedSender {
  private name: string | undefined;
  /** Level in the quarantine when the current run began. */
  private level = 0;

  /**
   * @param options - The quarantine, terminated servers, and outcomes of runs.
   * @param sender - The sender.
   */
  constructor(
    private readonly options: WatchedSenderOptions,
    private readonly sender: Sender,
  ) {}

  /** Returns the time for which the sender is still blocked, in milliseconds. */
  getRemainingBlockMs(): number {
    const {quarantine, senderRuns} = this.options;
    if (!quarantine.hasSuspects()) {
      return 0;
    }
    const blockMs = quarantine.getRemainingBlockMs(this.getName());
    const isProbed =
      quarantine.needsProbe(this.getName()) &&
      senderRuns.isRunning(this.sender);
    return Math.max(blockMs, isProbed ? PROBE_RETRY_MS : 0);
  }

  /** Records that a run begins. */
  beginRun(): void {
    const {quarantine, senderRuns} = this.options;
    senderRuns.begin(this.sender);
    this.level = quarantine.hasSuspects()
      ? quarantine.getLevel(this.getName())
      : 0;
  }

  /** Records that a run is over. */
  endRun(): void {
    this.options.senderRuns.end(this.sender);
  }

  /**
   * Records that a server has terminated during the run.
   * @param ended - The termination. Each content counts once, since one that terminates many
   *   servers is blocked by itself, and says little about the other requests of its sender.
   */
  addTermination(ended: SenderTermination): void {
    const {quarantine, terminatedServers, senderRuns} = this.options;
    senderRuns.addLoss(this.sender);
    const own =
      quarantine.countTerminationsWithin(
        this.getName(),
        CORRELATION_WINDOW_MS,
      ) + 1;
    const isCause = !terminatedServers.hasAnotherCause(own);
    if (isCause && senderRuns.hasExcessLosses(this.sender)) {
      const end = nameSenderTermination(ended);
      quarantine.addTermination(this.getName(), end, this.level);
    }
  }

  /** Records that a server answered the run. */
  addAnswer(): void {
    this.options.senderRuns.addAnswer(this.sender);
    if (this.level > 0) {
      this.options.quarantine.addSuccess(this.getName(), this.level);
    }
  }

  private getName(): string {
    this.name ??= nameSender(
      fingerprintRequest({
        method: '',
        path: this.sender.route,
        caller: this.sender.caller,
        body: EMPTY_BODY,
      }),
    );
    return this.name;
  }
}
