import {EndedServers} from './ended_servers.js';
import {fingerprintRequest, RequestContent} from './fingerprint_request.js';
import {Quarantine} from './quarantine.js';

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
}

/** What the quarantine knows of one caller's request, and learns from its runs. */
export class WatchedContent {
  private name: string | undefined;
  /** What was known when the present run began. */
  private level = 0;

  /**
   * @param options - Knows what ended servers, and which have.
   * @param getContent - Returns the content; asked for only while it matters.
   */
  constructor(
    private readonly options: WatchOptions,
    private readonly getContent: () => RequestContent,
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

  /** Notes that a run begins. */
  beginRun(): void {
    this.level = this.options.quarantine.hasSuspects()
      ? this.options.quarantine.getLevel(this.getName())
      : 0;
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
    const {name, start, address} = server;
    const hasEnded = await this.options.endedServers.hasEnded(address);
    if (hasEnded) {
      this.addEnd(start ?? `${name}/${this.level}`);
    }
    return hasEnded;
  }

  /** Notes that a start of a server is known to have ended during the run. */
  addEnd(start: string): void {
    this.options.quarantine.addEnd(this.getName(), start, this.level);
  }

  /** Notes that the server answered the run. */
  addAnswer(): void {
    if (this.level > 0) {
      this.options.quarantine.addSuccess(this.getName(), this.level);
    }
  }
}
