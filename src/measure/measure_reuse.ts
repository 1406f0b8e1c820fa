import {
  Fleet,
  FleetState,
  RequestOutcome,
  HostLoad,
  PromptPart,
  SentPart,
} from '../fleet/index.js';
import {LogFields, SilentLog} from '../log/index.js';
import {SeededRandom} from '../random/index.js';
import {chooseServer} from '../routing/index.js';
import {VirtualClock} from '../time/index.js';
import {EmulatedServer, SERVER_TRAITS} from './emulated_server.js';
import {DrawnPrompt, PromptWorkload} from './prompt_workload.js';

/** Measures by which hosts avoid computing shared prompt parts more than once. */
interface ReusePolicy {
  readonly name: string;
  /** Whether a request may wait for a server that saves prefill. */
  readonly usesSlack: boolean;
  /** Whether hosts report to each other which parts they sent to which server. */
  readonly reportsParts: boolean;
  /** Whether loads reported by peers are discounted by their age. */
  readonly agesLoads: boolean;
}

const POLICIES: readonly ReusePolicy[] = [
  {name: 'sedgefall', usesSlack: true, reportsParts: true, agesLoads: true},
  {name: 'no-slack', usesSlack: false, reportsParts: true, agesLoads: true},
  {name: 'parts-untold', usesSlack: true, reportsParts: false, agesLoads: true},
  {name: 'loads-unaged', usesSlack: true, reportsParts: true, agesLoads: false},
  {name: 'none', usesSlack: false, reportsParts: false, agesLoads: false},
];

const SERVICE = 'desk';
const HOST_COUNT = 7;
const SERVER_COUNT = 12;
const HEARTBEAT_INTERVAL_MS = 400;
/** Share of the target that a request may spend to save prefill, as in the relay. */
const SLACK_SHARE = 0.4;
const MS_PER_SECOND = 1000;

/** Results of one run, as observed by callers and servers. */
interface ReuseFigures {
  requests: number;
  inTime: number;
  /** Tokens of shared parts that were computed although some server had done so before. */
  recomputedTokens: number;
  computedTokens: number;
  readonly firstTokenMs: number[];
}

/** An entry host of a run, with the loads it last reported to its peers. */
interface ReuseHost {
  readonly fleet: Fleet;
  reportedLoads: readonly HostLoad[];
  reportedMs: number;
}

/**
 * Measures for each policy how often shared parts of prompts are computed, on
 * emulated servers and with the same seeds for every policy.
 * @param durationMs - Length of a run, in virtual milliseconds.
 * @param seeds - Seeds of the runs.
 * @returns One line per load factor and policy.
 */
export async function measureReuse(
  durationMs: number,
  seeds: readonly number[],
): Promise<LogFields[]> {
  const lines: LogFields[] = [];
  for (const factor of [1, 2]) {
    for (const policy of POLICIES) {
      const runs: ReuseFigures[] = [];
      for (const seed of seeds) {
        runs.push(
          await new ReuseSimulation(policy, seed, factor).run(durationMs),
        );
      }
      lines.push(formatRuns(policy, factor, runs));
    }
  }
  return lines;
}

function formatRuns(
  policy: ReusePolicy,
  factor: number,
  runs: readonly ReuseFigures[],
): LogFields {
  const sum = (pick: (figures: ReuseFigures) => number) =>
    runs.reduce((all, figures) => all + pick(figures), 0);
  const waits = runs.flatMap(figures => figures.firstTokenMs);
  waits.sort((a, b) => a - b);
  const percentile = (share: number) =>
    Math.round(waits[Math.floor(waits.length * share)] ?? 0);
  const requests = sum(figures => figures.requests);
  return {
    experiment: 'reuse',
    load: factor,
    policy: policy.name,
    seeds: runs.length,
    requests,
    in_time: (sum(figures => figures.inTime) / requests).toFixed(3),
    shared_again: sum(figures => figures.recomputedTokens),
    computed: sum(figures => figures.computedTokens),
    first_token_p50_ms: percentile(0.5),
    first_token_p95_ms: percentile(0.95),
  };
}

/** Simulates entry hosts that use the relay's own server choice, and emulated servers. */
class ReuseSimulation {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly workload: PromptWorkload;
  private readonly servers = new Map<string, EmulatedServer>();
  private readonly hosts: ReuseHost[] = [];
  /** Identifiers of shared parts that some server has computed. */
  private readonly computed = new Set<string>();
  private readonly figures: ReuseFigures = {
    requests: 0,
    inTime: 0,
    recomputedTokens: 0,
    computedTokens: 0,
    firstTokenMs: [],
  };

  constructor(
    private readonly policy: ReusePolicy,
    seed: number,
    factor: number,
  ) {
    this.random = new SeededRandom(seed);
    this.workload = new PromptWorkload(new SeededRandom(seed + 1), factor);
    for (let index = 0; index < SERVER_COUNT; index++) {
      const id = `server-${index}`;
      this.servers.set(id, new EmulatedServer(id, this.clock));
    }
    for (let index = 0; index < HOST_COUNT; index++) {
      this.hosts.push(this.createHost());
    }
  }

  async run(durationMs: number): Promise<ReuseFigures> {
    const stop = new AbortController();
    for (const host of this.hosts) {
      void this.reportToPeers(host, stop.signal);
    }
    void this.sendAll(durationMs);
    await this.clock.advance(durationMs);
    stop.abort();
    return this.figures;
  }

  private async sendAll(durationMs: number): Promise<void> {
    const rate = this.workload.getRatePerSecond();
    while (this.clock.monotonicMs() < durationMs) {
      // Exponentially distributed gaps: a Poisson process of independent callers.
      const gap = -Math.log(1 - this.random.next());
      await this.clock.sleep((gap * MS_PER_SECOND) / rate);
      const host = this.hosts[Math.floor(this.random.next() * HOST_COUNT)];
      if (host !== undefined) {
        void this.send(host, this.workload.draw());
      }
    }
  }

  private async send(host: ReuseHost, prompt: DrawnPrompt): Promise<void> {
    const {kind, parts} = prompt;
    const decision = chooseServer(
      {
        promptTokens: parts.reduce((sum, part) => sum + part.tokens, 0),
        expectedTokens: kind.answerTokens,
        excluded: new Set(),
        ...(this.policy.usesSlack
          ? {slackMs: kind.targetMs * SLACK_SHARE}
          : {}),
      },
      host.fleet.listKnowledge(SERVICE, {parts}),
      this.random,
    );
    const server = this.servers.get(decision.chosen?.server ?? '');
    if (server === undefined) {
      return;
    }
    const startMs = this.clock.monotonicMs();
    const request = host.fleet.trackRequest(
      server.id,
      parts,
      decision.chosen?.firstTokenMs ?? 0,
    );
    const run = await server.prefill(parts);
    const tookMs = this.clock.monotonicMs() - startMs;
    request.addFirstByte(tookMs);
    this.figures.requests++;
    this.figures.inTime += tookMs <= kind.targetMs ? 1 : 0;
    this.figures.recomputedTokens += this.countRecomputed(run.sharedParts);
    this.figures.computedTokens += run.computedTokens;
    this.figures.firstTokenMs.push(tookMs);
    await server.decode(kind.answerTokens);
    request.finish(RequestOutcome.SUCCEEDED);
  }

  private countRecomputed(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      tokens += this.computed.has(part.id) ? part.tokens : 0;
      this.computed.add(part.id);
    }
    return tokens;
  }

  /** Reports to the other hosts once per heartbeat, with a random initial offset. */
  private async reportToPeers(
    host: ReuseHost,
    signal: AbortSignal,
  ): Promise<void> {
    await this.clock.sleep(this.random.next() * HEARTBEAT_INTERVAL_MS, signal);
    while (!signal.aborted) {
      host.reportedLoads = host.fleet.listOwnLoads();
      host.reportedMs = this.clock.monotonicMs();
      const sent: SentPart[] = host.fleet.listSentParts();
      for (const other of this.hosts) {
        if (other !== host && this.policy.reportsParts) {
          other.fleet.addPeerParts(sent);
        }
      }
      await this.clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    }
  }

  private createHost(): ReuseHost {
    const host: ReuseHost = {
      fleet: new Fleet({
        clock: this.clock,
        log: new SilentLog(),
        random: this.random,
        dataCentre: 'here',
        listPeerLoads: server =>
          this.listPeerLoads(host).filter(load => load.server === server),
      }),
      reportedLoads: [],
      reportedMs: 0,
    };
    for (const id of this.servers.keys()) {
      host.fleet.register(
        {
          id,
          name: id,
          startedMs: 0,
          service: SERVICE,
          address: id,
          dataCentre: 'here',
          slots: SERVER_TRAITS.slots,
          state: FleetState.READY,
          reclaimable: false,
        },
        'measure',
      );
    }
    return host;
  }

  private listPeerLoads(host: ReuseHost): HostLoad[] {
    const nowMs = this.clock.monotonicMs();
    return this.hosts
      .filter(other => other !== host)
      .flatMap(({reportedLoads, reportedMs}) =>
        reportedLoads.map(load => ({
          ...load,
          ageMs: this.policy.agesLoads ? nowMs - reportedMs : 0,
        })),
      );
  }
}
