import {
  TerminatedServers,
  CORRELATION_WINDOW_MS,
} from './terminated_servers.js';
import {fingerprintRequest, RequestContent} from './fingerprint_request.js';
import {Quarantine} from './quarantine.js';
import {nameTermination} from './termination_name.js';
import {WatchedParts} from './watched_parts.js';
import {WatchedSender} from './watched_sender.js';

/** Dependencies of `WatchedContent`. */
export interface WatchOptions {
  readonly quarantine: Quarantine;
  readonly terminatedServers: TerminatedServers;
}

/** A server whose connection broke during a run. */
export interface DisconnectedServer {
  readonly name: string;
  /** Differs for each incarnation; absent if the server does not distinguish them. */
  readonly incarnation?: string;
  /** IP address and port. */
  readonly address: string;
  /**
   * Whether it was known to be leaving; its termination then says nothing about the
   * requests that it ran.
   */
  readonly wasLeaving?: boolean;
}

/** Connects the runs of one caller's request with the quarantine. */
export class WatchedContent {
  private name: string | undefined;
  /** Level in the quarantine when the current run began. */
  private level = 0;

  /**
   * @param options - The quarantine, and the detection of terminated servers.
   * @param getContent - Returns the content; called only when it is needed.
   * @param sender - Its sender; absent if senders are not watched.
   * @param parts - The parts of its prompt; absent if parts are not watched.
   */
  constructor(
    private readonly options: WatchOptions,
    private readonly getContent: () => RequestContent,
    private readonly sender?: WatchedSender,
    private readonly parts?: WatchedParts,
  ) {}

  /** Returns the fingerprint of the content, the same at all hosts. */
  getName(): string {
    this.name ??= fingerprintRequest(this.getContent());
    return this.name;
  }

  /**
   * Returns the time for which the request is still blocked, itself or for a part of its prompt,
   * in milliseconds.
   */
  getRemainingBlockMs(): number {
    const {quarantine} = this.options;
    return quarantine.hasSuspects()
      ? quarantine.getRemainingBlockMs(this.findBlocked())
      : 0;
  }

  /** Returns the name of what blocks the request: a part of its prompt, or its own. */
  findBlocked(): string {
    return this.parts?.findBlocked() ?? this.getName();
  }

  /** Returns the time for which its sender is still blocked, in milliseconds. */
  getSenderRemainingBlockMs(): number {
    return this.sender?.getRemainingBlockMs() ?? 0;
  }

  /** Records that a run begins; call `endRun` when it is over. */
  beginRun(): void {
    this.sender?.beginRun();
    this.parts?.beginRun();
    this.level = this.options.quarantine.hasSuspects()
      ? this.options.quarantine.getLevel(this.getName())
      : 0;
  }

  /** Records that the run is over, whatever its outcome. */
  endRun(): void {
    this.sender?.endRun();
  }

  /**
   * Checks whether a server whose connection broke during the run has terminated, and
   * records it.
   * @param server - The server, if it is still known. If it does not distinguish its
   *   incarnations, a termination that was not known when the run began counts as that
   *   of another incarnation.
   * @returns Whether it has terminated.
   */
  async addLoss(server: DisconnectedServer | undefined): Promise<boolean> {
    if (server === undefined) {
      return false;
    }
    const {name, incarnation, address, wasLeaving} = server;
    const hasTerminated =
      await this.options.terminatedServers.hasTerminated(address);
    if (hasTerminated && wasLeaving !== true) {
      this.addTermination(
        nameTermination(address, incarnation ?? `${name}/${this.level}`),
      );
    }
    return hasTerminated;
  }

  /**
   * Records that a server is known to have terminated during the run.
   * @param end - Name of the termination; see `nameTermination`.
   */
  addTermination(end: string): void {
    const {quarantine, terminatedServers} = this.options;
    const content = this.getName();
    const own =
      quarantine.countTerminationsWithin(content, CORRELATION_WINDOW_MS) + 1;
    if (!terminatedServers.hasAnotherCause(own)) {
      quarantine.addTermination(content, end, this.level);
    }
    this.parts?.addTermination(end);
    this.sender?.addTermination({content, termination: end});
  }

  /** Records that the server answered the run, even with a failure. */
  addAnswer(): void {
    if (this.level > 0) {
      this.options.quarantine.addSuccess(this.getName(), this.level);
    }
    this.parts?.addAnswer();
    this.sender?.addAnswer();
  }
}
