import {fingerprintRequest, Quarantine} from '../quarantine/index.js';
import {RelayRequest} from './relay_request.js';

/** What the quarantine knows of one caller's request, and learns from its runs. */
export class WatchedContent {
  private fingerprint: string | undefined;
  /** What was known when the present run began. */
  private level = 0;

  constructor(
    private readonly quarantine: Quarantine,
    private readonly request: RelayRequest,
  ) {}

  /** Names the content, as the hosts speak of it. */
  getContent(): string {
    const {method, path, account, body} = this.request;
    this.fingerprint ??= fingerprintRequest({
      method,
      path,
      caller: account?.name ?? '',
      body,
    });
    return this.fingerprint;
  }

  /** Returns the time for which it is kept away from servers, in milliseconds. */
  getHeldMs(): number {
    return this.quarantine.hasSuspects()
      ? this.quarantine.getHeldMs(this.getContent())
      : 0;
  }

  /** Notes that a run begins. */
  beginRun(): void {
    this.level = this.quarantine.hasSuspects()
      ? this.quarantine.getLevel(this.getContent())
      : 0;
  }

  /** Notes that the server ended while it worked on the run. */
  addEnd(server: string): void {
    this.quarantine.addEnd(this.getContent(), server, this.level);
  }

  /** Notes that the server answered the run. */
  addAnswer(): void {
    if (this.level > 0) {
      this.quarantine.addSuccess(this.getContent(), this.level);
    }
  }
}
