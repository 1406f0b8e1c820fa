import {EndedServers, WAVE_MS} from './ended_servers.js';
import {fingerprintRequest} from './fingerprint_request.js';
import {Quarantine} from './quarantine.js';
import {Sender, SenderRuns} from './sender_runs.js';
import {nameSender} from './suspicion_rule.js';

/** What watched senders work with. */
export interface WatchedSenderOptions {
  readonly quarantine: Quarantine;
  readonly endedServers: EndedServers;
  readonly senderRuns: SenderRuns;
}

/** Time to come back while another of the sender's requests is tried, in ms. */
const TRIAL_MS = 500;
const NOTHING = new Uint8Array();

/**
 * What the quarantine knows of a request's sender, and learns from its runs: a sender
 * whose requests differ each time could else end servers without end. One that stands
 * out is kept away, then tried by one request at a time, until one is answered.
 */
export class WatchedSender {
  private name: string | undefined;
  /** What was known when the present run began. */
  private level = 0;

  /**
   * @param options - Knows what ended servers, and what became of runs.
   * @param sender - The sender.
   */
  constructor(
    private readonly options: WatchedSenderOptions,
    private readonly sender: Sender,
  ) {}

  /** Returns the time for which it is kept away from servers, in milliseconds. */
  getHeldMs(): number {
    const {quarantine, senderRuns} = this.options;
    if (!quarantine.hasSuspects()) {
      return 0;
    }
    const heldMs = quarantine.getHeldMs(this.getName());
    const isTried =
      quarantine.isOnTrial(this.getName()) && senderRuns.isRunning(this.sender);
    return Math.max(heldMs, isTried ? TRIAL_MS : 0);
  }

  /** Notes that a run begins. */
  beginRun(): void {
    const {quarantine, senderRuns} = this.options;
    senderRuns.begin(this.sender);
    this.level = quarantine.hasSuspects()
      ? quarantine.getLevel(this.getName())
      : 0;
  }

  /** Notes that a run is over. */
  endRun(): void {
    this.options.senderRuns.end(this.sender);
  }

  /**
   * Notes that a server has ended during the run.
   * @param content - What it ran: one content that ends many servers is kept away by
   *   itself, and tells little of what else its sender sends.
   */
  addEnd(content: string): void {
    const {quarantine, endedServers, senderRuns} = this.options;
    senderRuns.addLoss(this.sender);
    const own = quarantine.countEndsWithin(this.getName(), WAVE_MS) + 1;
    const isCause = !endedServers.endsForAnotherCause(own);
    if (isCause && senderRuns.standsOut(this.sender)) {
      quarantine.addEnd(this.getName(), content, this.level);
    }
  }

  /** Notes that a server answered the run. */
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
        body: NOTHING,
      }),
    );
    return this.name;
  }
}
