import {fingerprintRequest, RequestContent} from './fingerprint_request.js';
import {Quarantine} from './quarantine.js';

/** What the quarantine knows of one caller's request, and learns from its runs. */
export class WatchedContent {
  private name: string | undefined;
  /** What was known when the present run began. */
  private level = 0;

  /**
   * @param quarantine - Knows what ended servers.
   * @param getContent - Returns the content; asked for only while it matters.
   */
  constructor(
    private readonly quarantine: Quarantine,
    private readonly getContent: () => RequestContent,
  ) {}

  /** Returns the name of the content by which hosts speak of it. */
  getName(): string {
    this.name ??= fingerprintRequest(this.getContent());
    return this.name;
  }

  /** Returns the time for which it is kept away from servers, in milliseconds. */
  getHeldMs(): number {
    return this.quarantine.hasSuspects()
      ? this.quarantine.getHeldMs(this.getName())
      : 0;
  }

  /** Notes that a run begins. */
  beginRun(): void {
    this.level = this.quarantine.hasSuspects()
      ? this.quarantine.getLevel(this.getName())
      : 0;
  }

  /**
   * Notes that a server ended while it worked on the run.
   * @param start - The server's start.
   */
  addEnd(start: string): void {
    this.quarantine.addEnd(this.getName(), start, this.level);
  }

  /**
   * Notes that a server which does not tell its starts apart ended while it worked on
   * the run: an end that was not known when the run began is another start's.
   * @param server - The server's name.
   */
  addEndOf(server: string): void {
    this.addEnd(`${server}/${this.level}`);
  }

  /** Notes that the server answered the run. */
  addAnswer(): void {
    if (this.level > 0) {
      this.quarantine.addSuccess(this.getName(), this.level);
    }
  }
}
