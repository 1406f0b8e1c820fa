import {HostWork, Rates, ServerWork} from './host_work.js';

/** Prompt tokens an engine computes per millisecond, as `Fleet` assumes. */
const PREFILL_TOKENS_PER_MS = 100;
/** Pending prompt tokens of a rank that are not worth telling: a few steps. */
const MIN_PENDING_TOKENS = 500;

/** Running requests and pending tokens at one server, as they are summed. */
interface ServerSum {
  running: number;
  readonly tokens: Map<number, number>;
}

/** Sums what several hosts told; nothing is counted twice that is added once. */
export class WorkSum {
  private readonly servers = new Map<string, ServerSum>();
  private readonly prefill = new Map<string, number>();
  private readonly demands = new Map<string, number>();
  private readonly parts = new Map<
    string,
    readonly [server: string, part: string, tokens: number]
  >();

  /**
   * Adds work, or takes it away again.
   * @param work - The work.
   * @param ageMs - Time since it was so: prompts are computed meanwhile.
   * @param sign - 1 to add, -1 to take away what was added before.
   */
  add(work: HostWork, ageMs: number, sign: 1 | -1 = 1): void {
    for (const load of work.loads) {
      this.addLoad(load, ageMs, sign);
    }
    addRates(this.prefill, work.prefill, sign);
    addRates(this.demands, work.demands, sign);
    if (sign === 1) {
      for (const part of work.parts) {
        this.parts.set(`${part[0]}/${part[1]}`, part);
      }
    }
  }

  /** Returns the sum. */
  get(): HostWork {
    return {
      loads: this.listLoads(),
      parts: [...this.parts.values()],
      prefill: listRates(this.prefill),
      demands: listRates(this.demands),
    };
  }

  private addLoad(load: ServerWork, ageMs: number, sign: 1 | -1): void {
    const sum = this.servers.get(load.server) ?? {
      running: 0,
      tokens: new Map<number, number>(),
    };
    sum.running += sign * load.running;
    let doneTokens = ageMs * PREFILL_TOKENS_PER_MS;
    // The most urgent are computed first.
    const ranks = load.prefill.toSorted((a, b) => a.urgency - b.urgency);
    for (const {urgency, tokens} of ranks) {
      const left = Math.max(0, tokens - doneTokens);
      doneTokens = Math.max(0, doneTokens - tokens);
      sum.tokens.set(urgency, (sum.tokens.get(urgency) ?? 0) + sign * left);
    }
    this.servers.set(load.server, sum);
  }

  private listLoads(): ServerWork[] {
    const loads: ServerWork[] = [];
    for (const [server, {running, tokens}] of this.servers) {
      const prefill = [...tokens]
        .filter(([, pending]) => pending >= MIN_PENDING_TOKENS)
        .map(([urgency, pending]) => ({urgency, tokens: Math.round(pending)}));
      if (running > 0 || prefill.length > 0) {
        loads.push({server, running: Math.max(0, running), prefill});
      }
    }
    return loads;
  }
}

function addRates(sums: Map<string, number>, rates: Rates, sign: 1 | -1): void {
  for (const [name, perSecond] of rates) {
    sums.set(name, (sums.get(name) ?? 0) + sign * perSecond);
  }
}

function listRates(sums: ReadonlyMap<string, number>): [string, number][] {
  const rates: [string, number][] = [];
  for (const [name, perSecond] of sums) {
    if (perSecond > 0) {
      rates.push([name, Math.round(perSecond)]);
    }
  }
  return rates;
}
