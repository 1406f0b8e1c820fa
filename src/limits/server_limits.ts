import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {StatedLimit} from './stated_limit.js';

/** What the limits work with. */
export interface ServerLimitsOptions {
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Servers whose unusable statements are remembered, so that each is logged once. */
const MAX_FAULTY = 1000;

/** Limits that servers state in their answers, by the server's start. */
export class ServerLimits {
  /** Requests a second. */
  private readonly limits = new Map<string, number>();
  private readonly faulty = new Set<string>();

  constructor(private readonly options: ServerLimitsOptions) {
    options.metrics.addGauge(
      'servers_limited',
      'Servers that name a limit of requests a second',
      () => this.limits.size,
    );
  }

  /** Returns a server's limit in requests a second; absent where it has none. */
  getLimit(server: string): number | undefined {
    return this.limits.get(server);
  }

  /**
   * Takes in what an answer states.
   * @param server - Start of the server that answered.
   * @param stated - What it states.
   */
  addAnswer(server: string, stated: StatedLimit): void {
    if (stated.isErr) {
      this.noteFault(server, stated.error);
      return;
    }
    const before = this.limits.get(server);
    const limit = stated.value.unwrapOr(undefined);
    if (before === limit) {
      return;
    }
    this.options.log.warn('server_limit', {
      server,
      per_second: limit ?? 'none',
      before: before ?? 'none',
      source: 'answer',
    });
    if (limit === undefined) {
      this.limits.delete(server);
      return;
    }
    this.limits.set(server, limit);
  }

  private noteFault(server: string, fault: string): void {
    if (this.faulty.has(server) || this.faulty.size >= MAX_FAULTY) {
      return;
    }
    this.faulty.add(server);
    this.options.log.warn('server_limit_unusable', {server, detail: fault});
  }
}
