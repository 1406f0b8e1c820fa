import {PlacesInUse} from '../admission/index.js';
import {
  PREFILL_TOKENS_PER_MS,
  RankedTokens,
  ServerLoad,
} from '../fleet/index.js';
import {ModelSum, ModelSums, subtractSums} from '../server_model/index.js';
import {HostWork, Rates} from './host_work.js';
import {subtractPlaces, sumPlaces} from './sum_places.js';
import {optional} from './optional.js';

/** Pending prompt tokens of a rank below which they are not reported: a few steps. */
const MIN_PENDING_TOKENS = 500;

/** Sums of running requests and pending tokens at one server. */
interface ServerSum {
  running: number;
  readonly tokens: Map<number, number>;
}

/** Sums the work of several hosts; the caller must add each host only once. */
export class WorkSum {
  private readonly servers = new Map<string, ServerSum>();
  private readonly prefill = new Map<string, number>();
  private readonly demands = new Map<string, number>();
  private readonly places: PlacesInUse[] = [];
  private readonly parts = new Map<
    string,
    readonly [server: string, part: string, tokens: number]
  >();

  private model: ModelSum | undefined;

  /**
   * Adds work.
   * @param work - The work.
   * @param ageMs - Age of the work, in milliseconds. The tokens that the servers have
   *   computed since then are subtracted.
   */
  add(work: HostWork, ageMs: number): void {
    for (const load of work.loads) {
      this.addLoad(load, ageMs);
    }
    addRates(this.prefill, work.prefill);
    addRates(this.demands, work.demands);
    this.places.push(...work.places);
    if (work.model !== undefined) {
      this.model ??= new ModelSum();
      this.model.add(work.model, ageMs);
    }
    for (const part of work.parts) {
      this.parts.set(`${part[0]}/${part[1]}`, part);
    }
  }

  /** Returns the sum. */
  get(): HostWork {
    return {
      loads: this.listLoads(),
      parts: [...this.parts.values()],
      prefill: listRates(this.prefill),
      demands: listRates(this.demands),
      places: sumPlaces(this.places),
      ...optional('model', this.model?.get()),
    };
  }

  private addLoad(load: ServerLoad, ageMs: number): void {
    const sum = this.servers.get(load.server) ?? {
      running: 0,
      tokens: new Map<number, number>(),
    };
    sum.running += load.running;
    for (const {urgency, tokens} of listRemaining(load, ageMs)) {
      sum.tokens.set(urgency, (sum.tokens.get(urgency) ?? 0) + tokens);
    }
    this.servers.set(load.server, sum);
  }

  private listLoads(): ServerLoad[] {
    const loads: ServerLoad[] = [];
    for (const [server, {running, tokens}] of this.servers) {
      const prefill = [...tokens]
        .filter(([, pending]) => pending >= MIN_PENDING_TOKENS)
        .map(([urgency, pending]) => ({urgency, tokens: Math.round(pending)}));
      if (running > 0 || prefill.length > 0) {
        loads.push({server, running, prefill});
      }
    }
    return loads;
  }
}

/**
 * Subtracts one host's work from a sum.
 * @param whole - The sum.
 * @param part - The work of the host that was added to the sum.
 * @param ageMs - Age of that work when it was added, in milliseconds.
 */
export function subtractWork(
  whole: HostWork,
  part: HostWork,
  ageMs: number,
): HostWork {
  const taken = new Map(part.loads.map(load => [load.server, load]));
  const loads: ServerLoad[] = [];
  for (const load of whole.loads) {
    const own = taken.get(load.server);
    const left = own === undefined ? load : subtractLoad(load, own, ageMs);
    if (left.running > 0 || left.prefill.length > 0) {
      loads.push(left);
    }
  }
  return {
    loads,
    parts: whole.parts,
    prefill: subtractRates(whole.prefill, part.prefill),
    demands: subtractRates(whole.demands, part.demands),
    places: subtractPlaces(whole.places, part.places),
    ...optional('model', subtractModel(whole.model, part.model, ageMs)),
  };
}

function subtractModel(
  whole: ModelSums | undefined,
  part: ModelSums | undefined,
  ageMs: number,
): ModelSums | undefined {
  return whole === undefined || part === undefined
    ? whole
    : subtractSums(whole, part, ageMs);
}

function subtractLoad(
  whole: ServerLoad,
  part: ServerLoad,
  ageMs: number,
): ServerLoad {
  const taken = new Map(
    listRemaining(part, ageMs).map(({urgency, tokens}) => [urgency, tokens]),
  );
  const prefill = whole.prefill
    .map(({urgency, tokens}) => ({
      urgency,
      tokens: Math.round(tokens - (taken.get(urgency) ?? 0)),
    }))
    .filter(({tokens}) => tokens >= MIN_PENDING_TOKENS);
  const running = Math.max(0, whole.running - part.running);
  return {server: whole.server, running, prefill};
}

function subtractRates(whole: Rates, part: Rates): Rates {
  const taken = new Map(part);
  return whole
    .map(([name, rate]): [string, number] => [
      name,
      rate - (taken.get(name) ?? 0),
    ])
    .filter(([, rate]) => rate > 0);
}

/**
 * Lists the tokens that a server still has to compute after a time, by rank. Servers
 * compute the most urgent prompts first.
 */
function listRemaining({prefill}: ServerLoad, ageMs: number): RankedTokens[] {
  let doneTokens = ageMs * PREFILL_TOKENS_PER_MS;
  const left: RankedTokens[] = [];
  for (const {urgency, tokens} of byUrgency(prefill)) {
    left.push({urgency, tokens: Math.max(0, tokens - doneTokens)});
    doneTokens = Math.max(0, doneTokens - tokens);
  }
  return left;
}

function byUrgency(prefill: readonly RankedTokens[]): readonly RankedTokens[] {
  return prefill.length < 2
    ? prefill
    : prefill.toSorted((a, b) => a.urgency - b.urgency);
}

function addRates(sums: Map<string, number>, rates: Rates): void {
  for (const [name, perSecond] of rates) {
    sums.set(name, (sums.get(name) ?? 0) + perSecond);
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
