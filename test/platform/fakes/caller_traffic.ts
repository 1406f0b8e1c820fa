import {CallerView, RunningHost, TestSystem} from './test_system.js';

/** A request of a caller, with its response. */
export interface CallerRequest {
  readonly id: string;
  /** Index of the host that it was sent to. */
  readonly host: number;
  /** When it was sent and when its response was complete, in milliseconds. */
  readonly sentMs: number;
  readonly answeredMs: number;
  readonly view: CallerView;
}

/** Requests of callers at a constant rate, sent to each host in turn. */
export class CallerTraffic {
  private sent = 0;

  constructor(
    private readonly system: TestSystem,
    private readonly hosts: readonly RunningHost[],
    private readonly perSecond: number,
  ) {}

  /**
   * Sends requests for a time.
   * @param spanMs - The time, in milliseconds.
   * @param path - Path of the requests.
   * @returns The requests that got a response.
   */
  async sendFor(spanMs: number, path = '/a/x'): Promise<CallerRequest[]> {
    const startMs = performance.now();
    const calls: Promise<CallerRequest | undefined>[] = [];
    for (let count = 0; ; count++) {
      const dueMs = startMs + (count * 1000) / this.perSecond;
      if (dueMs >= startMs + spanMs) {
        break;
      }
      await new Promise(resolve =>
        setTimeout(resolve, dueMs - performance.now()),
      );
      calls.push(this.send(path));
    }
    const requests = await Promise.all(calls);
    return requests.filter(request => request !== undefined);
  }

  private async send(path: string): Promise<CallerRequest | undefined> {
    const host = this.sent++ % this.hosts.length;
    const id = `t${this.sent}`;
    const sentMs = performance.now();
    try {
      const view = await this.system.call(
        this.hosts[host] as RunningHost,
        path,
        {'Request-Id': id},
        'body',
      );
      return {id, host, sentMs, answeredMs: performance.now(), view};
    } catch {
      return undefined;
    }
  }
}
