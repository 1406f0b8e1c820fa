import {EndedServers, WAVE_MS} from './ended_servers.js';
import {fingerprintRequest, RequestContent} from './fingerprint_request.js';
import {Quarantine} from './quarantine.js';
import {nameServerEnd} from './server_end_name.js';
import {WatchedSender} from './watched_sender.js';

/** What watched contents work with. */
export interface WatchOptions {
  readonly quarantine: Quarantine;
  readonly endedServers: EndedServers;
}

/** A server that broke a run off. */
export interface BrokenServer {
  readonly name: string;
  /** Differs for every start of the server, where it tells them apart. */
  readonly start?: string;
  /** IP number and port. */
  readonly address: string;
  /**
   * Whether it was known to be leaving: then its end tells nothing of what it ran.
   */
  readonly wasLeaving?: boolean;
}

/** What the quarantine knows of one caller's request, and learns from its runs. */
export class WatchedContent {
  private name: string | undefined;
  /** What was known when the present run began. */
  private level = 0;

  /**
   * @param options - Knows what ended servers, and which have.
   * @param getContent - Returns the content; asked for only while it matters.
   * @param sender - Its sender, where what one sender costs is bounded.
   */
  constructor(
    private readonly options: WatchOptions,
    private readonly getContent: () => RequestContent,
    private readonly sender?: WatchedSender,
  ) {}

  /** Returns the name of the content by which hosts speak of it. */
  getName(): string {
    this.name ??= fingerprintRequest(this.getContent());
    return this.name;
  }

  /** Returns the time for which it is kept away from servers, in milliseconds. */
  getHeldMs(): number {
    return this.options.quarantine.hasSuspects()
      ? this.options.quarantine.getHeldMs(this.getName())
      : 0;
  }

  /** Returns the time for which its sender is, in milliseconds. */
  getSenderHeldMs(): number {
    return this.sender?.getHeldMs() ?? 0;
  }

  /** Notes that a run begins; `endRun` ends it. */
  beginRun(): void {
    this.sender?.beginRun();
    this.level = this.options.quarantine.hasSuspects()
      ? this.options.quarantine.getLevel(this.getName())
      : 0;
  }

  /** Notes that the run is over, whatever came of it. */
  endRun(): void {
    this.sender?.endRun();
  }

  /**
   * Notes that a server broke the run off, and looks whether it has ended.
   * @param server - The server, if it is still known; without a start where it does
   *   not tell its starts apart: an end that was not known when the run began is
   *   another start's.
   * @returns Whether it has ended.
   */
  async addLoss(server: BrokenServer | undefined): Promise<boolean> {
    if (server === undefined) {
      return false;
    }
    const {name, start, address, wasLeaving} = server;
    const hasEnded = await this.options.endedServers.hasEnded(address);
    if (hasEnded && wasLeaving !== true) {
      this.addEnd(nameServerEnd(address, start ?? `${name}/${this.level}`));
    }
    return hasEnded;
  }

  /**
   * Notes that a server is known to have ended during the run.
   * @param end - See `nameServerEnd`.
   */
  addEnd(end: string): void {
    const {quarantine, endedServers} = this.options;
    const content = this.getName();
    const own = quarantine.countEndsWithin(content, WAVE_MS) + 1;
    if (!endedServers.endsForAnotherCause(own)) {
      quarantine.addEnd(content, end, this.level);
    }
    this.sender?.addEnd(content);
  }

  /** Notes that the server answered the run, be it with a failure. */
  addAnswer(): void {
    if (this.level > 0) {
      this.options.quarantine.addSuccess(this.getName(), this.level);
    }
    this.sender?.addAnswer();
  }
}
