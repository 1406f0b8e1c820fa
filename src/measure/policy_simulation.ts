import {CustomerUsage, UsageCounter} from '../admission/index.js';
import {GenerationFormat} from '../backend/index.js';
import {GenerationAdmission} from '../caller/index.js';
import {ConfigurationStore, RecordKind} from '../configuration/index.js';
import {FakeEngine} from '../fakes/index.js';
import {
  AnswerLengths,
  checkToken,
  Generation,
  GenerationRunner,
  ReclaimWatch,
  RunningGenerations,
} from '../generation/index.js';
import {SilentLog} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {TerminatedServers, Quarantine} from '../quarantine/index.js';
import {SeededRandom} from '../random/index.js';
import {RetryBudget, ServerDirectory} from '../routing/index.js';
import {VirtualClock} from '../time/index.js';
import {Figures, FigureCollector} from './figures.js';
import {Workload, WorkloadRequest} from './workload.js';
import {SimulationEvent, SimulationPlan} from './simulation_plan.js';

/** Assumptions of the simulation, documented in docs/MEASUREMENTS.md. */
export const ASSUMPTIONS = {
  capacity: 16,
  prefillRate: 12_000,
  decodeMs: 20,
  cacheBlocks: 1200,
  hostsPerCentre: 2,
  pollMs: 500,
  deadlineMs: 30_000,
  /** Share of refused callers that retry once, at the time given in the refusal. */
  retryShare: 0.5,
} as const;

/** One entry host of a run. */
interface SimulatedHost {
  readonly directory: ServerDirectory;
  readonly runner: GenerationRunner;
  readonly admission: GenerationAdmission;
  readonly usage: UsageCounter;
  readonly watch: ReclaimWatch;
}

/** A fake engine that can be slowed down or killed. */
class SimulatedEngine extends FakeEngine {
  readonly killed = new AbortController();
}

/**
 * Simulates entry hosts that run the daemon's own decisions over fake engines, on
 * a virtual clock. It does not simulate a cluster: no messages, no processes.
 */
export class PolicySimulation {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly engines: SimulatedEngine[] = [];
  private readonly hosts: SimulatedHost[] = [];
  private readonly collector: FigureCollector;
  private readonly workload: Workload;
  private readonly reclaimDeadlines = new Map<string, number>();
  private readonly configuration: ConfigurationStore;
  private requests = 0;

  constructor(private readonly plan: SimulationPlan) {
    this.random = new SeededRandom(plan.seed);
    this.workload = new Workload(plan.profile, this.random);
    this.collector = new FigureCollector();
    this.configuration = this.createConfiguration();
    for (const server of this.configuration.getView().servers.values()) {
      this.engines.push(this.createEngine(server.name));
    }
    plan.serversPerCentre.forEach((_count, centre) => {
      for (let index = 0; index < ASSUMPTIONS.hostsPerCentre; index++) {
        this.hosts.push(this.createHost(`centre-${centre}`));
      }
    });
  }

  /** Runs the plan; returns the results that callers observed. */
  async run(): Promise<Figures> {
    const stop = new AbortController();
    void this.pollLoads(stop.signal);
    for (const host of this.hosts) {
      if (this.plan.migratesOnNotice) {
        void host.watch.run(stop.signal);
      }
    }
    for (const event of this.plan.events) {
      void this.clock.sleep(event.atMs).then(() => this.applyEvent(event));
    }
    await this.clock.advance(ASSUMPTIONS.pollMs + 1);
    void this.sendAll();
    await this.clock.advance(this.plan.durationMs + ASSUMPTIONS.deadlineMs);
    stop.abort();
    const counts = this.engines.map(engine => engine.counts);
    return this.collector.getFigures(this.plan.durationMs, counts);
  }

  private async sendAll(): Promise<void> {
    const {durationMs, ratePerSecond, rateAfter} = this.plan;
    const startMs = this.clock.monotonicMs();
    for (;;) {
      const elapsedMs = this.clock.monotonicMs() - startMs;
      if (elapsedMs >= durationMs) {
        return;
      }
      const rate =
        rateAfter !== undefined && elapsedMs >= rateAfter.atMs
          ? rateAfter.ratePerSecond
          : ratePerSecond;
      // Exponentially distributed gaps: a Poisson process of independent callers.
      const gapMs = (-Math.log(1 - this.random.next()) * 1000) / rate;
      await this.clock.sleep(gapMs);
      const customer = this.workload.drawCustomer();
      void this.send(this.workload.draw(customer), true);
    }
  }

  private async send(drawn: WorkloadRequest, mayRetry: boolean): Promise<void> {
    const host = this.hosts[Math.floor(this.random.next() * this.hosts.length)];
    const view = this.configuration.getView();
    const deployment = view.deployments.get('dossier');
    if (host === undefined || deployment === undefined) {
      return;
    }
    const startMs = this.clock.monotonicMs();
    const generation = this.createGeneration(drawn, startMs);
    const refusal = this.plan.usesAdmissionControl
      ? host.admission.decide(view, deployment, generation)
      : undefined;
    if (refusal !== undefined) {
      this.collector.addRefusal(drawn.customer, startMs);
      const retries = this.random.next() < ASSUMPTIONS.retryShare;
      if (mayRetry && retries) {
        await this.clock.sleep((refusal.retryAfterSeconds ?? 1) * 1000);
        await this.send(drawn, false);
      }
      return;
    }
    const release = host.usage.add(drawn.customer);
    const run = host.runner.run(generation, new AbortController().signal);
    await this.collector.measureGeneration(
      generation,
      startMs,
      deployment,
      this.clock,
    );
    await run;
    release();
  }

  private createGeneration(drawn: WorkloadRequest, nowMs: number): Generation {
    return new Generation(
      {
        id: `request-${this.requests++}`,
        customer: drawn.customer,
        deployment: 'dossier',
        adapter: '',
        format: GenerationFormat.TEXT,
        body: {
          model: 'dossier',
          prompt: drawn.prompt,
          max_tokens: drawn.tokens,
        },
        urgency: 3,
        deadlineMs: nowMs + ASSUMPTIONS.deadlineMs,
      },
      [],
      nowMs,
    );
  }

  private applyEvent(event: SimulationEvent): void {
    if (event.kind === 'slow') {
      const engine = this.engines[event.server];
      if (engine !== undefined) {
        engine.slowdown = event.factor;
      }
      return;
    }
    if (event.kind === 'flood') {
      void this.flood(event);
      return;
    }
    for (const engine of this.engines) {
      const {name} = engine.options;
      if (name.startsWith(`server-${event.dataCentre}-`)) {
        const endMs = this.clock.monotonicMs() + event.noticeMs;
        this.reclaimDeadlines.set(name, endMs);
        void this.clock.sleep(event.noticeMs).then(() => engine.killed.abort());
      }
    }
  }

  private async flood(
    event: Extract<SimulationEvent, {readonly kind: 'flood'}>,
  ): Promise<void> {
    const endMs = this.clock.monotonicMs() + event.forMs;
    while (this.clock.monotonicMs() < endMs) {
      await this.clock.sleep(1000 / event.ratePerSecond);
      void this.send(this.workload.draw(event.customer), true);
    }
  }

  /** Passes every engine's load to every host, half a poll interval old on average. */
  private async pollLoads(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const engine of this.engines) {
        if (engine.killed.signal.aborted) {
          continue;
        }
        const load = (await engine.getLoad()).unwrapOr(undefined);
        const events = await engine.listCacheEvents(0);
        for (const host of this.hosts) {
          if (load !== undefined) {
            host.directory.addLoad(engine.options.name, load, 0);
          }
          host.directory
            .getPrefixes(engine.options.name)
            ?.addEvents(events.unwrapOr([]));
        }
      }
      await this.clock.sleep(ASSUMPTIONS.pollMs, signal);
    }
  }

  private createHost(dataCentre: string): SimulatedHost {
    const log = new SilentLog();
    const directory = new ServerDirectory(
      {
        createEngine: server => this.wrapEngine(server.name),
        createService: () => {
          throw new Error('the simulation has no service servers');
        },
      },
      this.clock,
      dataCentre,
      () => this.plan.serversPerCentre.length * ASSUMPTIONS.hostsPerCentre,
    );
    directory.setServers(this.configuration.getView().servers.values());
    const running = new RunningGenerations();
    const lengths = new AnswerLengths();
    const common = {clock: this.clock, log, configuration: this.configuration};
    const runner = new GenerationRunner({
      ...common,
      random: this.random,
      directory,
      budget: new RetryBudget(this.clock),
      quarantine: new Quarantine({...common, metrics: new Metrics()}),
      terminatedServers: new TerminatedServers(this.clock, async () => false),
      running,
      meter: {addToken: () => undefined},
      lengths,
      chooseServer: this.plan.chooseServer(),
      checkToken,
      isLeaving: server => this.reclaimDeadlines.has(server),
      firstTokenTimeoutMs: ASSUMPTIONS.deadlineMs,
      tokenTimeoutMs: 2000,
    });
    const usage: UsageCounter = new UsageCounter(() =>
      this.listPeerUsage(usage),
    );
    const admission = new GenerationAdmission({
      clock: this.clock,
      log,
      random: this.random,
      runner,
      usage,
      getCapacity: () => this.countAlive() * ASSUMPTIONS.capacity,
    });
    const watch = new ReclaimWatch({
      ...common,
      directory,
      running,
      lengths,
      runner,
      getRemainingMs: server => {
        const endMs = this.reclaimDeadlines.get(server);
        return endMs === undefined
          ? undefined
          : endMs - this.clock.monotonicMs();
      },
      transferRate: 20_000,
      importSlots: 8,
    });
    return {directory, runner, admission, usage, watch};
  }

  private listPeerUsage(own: UsageCounter): CustomerUsage[] {
    return this.hosts
      .filter(host => host.usage !== own)
      .flatMap(host => host.usage.listOwn());
  }

  private countAlive(): number {
    return this.engines.filter(
      engine => !this.reclaimDeadlines.has(engine.options.name),
    ).length;
  }

  /** Wraps an engine so that its streams are aborted once it is killed. */
  private wrapEngine(name: string) {
    const engine = this.engines.find(other => other.options.name === name);
    if (engine === undefined) {
      throw new Error(`no engine named ${name}`);
    }
    const {signal: killed} = engine.killed;
    const generate = engine.generate.bind(engine);
    return Object.assign(Object.create(engine) as SimulatedEngine, {
      generate: (...[order, signal]: Parameters<FakeEngine['generate']>) =>
        generate(order, AbortSignal.any([signal, killed])),
    });
  }

  private createEngine(name: string): SimulatedEngine {
    return new SimulatedEngine(
      {
        name,
        capacity: ASSUMPTIONS.capacity,
        prefillRate: ASSUMPTIONS.prefillRate,
        decodeMs: ASSUMPTIONS.decodeMs,
        cacheBlocks: ASSUMPTIONS.cacheBlocks,
        models: [{name: 'm', version: '1', adapters: []}],
        checkFence: true,
      },
      this.clock,
    );
  }

  private createConfiguration(): ConfigurationStore {
    const store = new ConfigurationStore(new SilentLog());
    const documents: Record<string, unknown>[] = [
      {
        kind: RecordKind.DEPLOYMENT,
        name: 'dossier',
        target: {kind: 'model', model: 'm', version: '1'},
        weights: this.plan.profile.weights,
      },
    ];
    this.plan.serversPerCentre.forEach((count, centre) => {
      for (let index = 0; index < count; index++) {
        documents.push({
          kind: RecordKind.SERVER,
          name: `server-${centre}-${index}`,
          runs: 'engine',
          dataCentre: `centre-${centre}`,
          address: '127.0.0.1:1',
        });
      }
    });
    for (const {name} of this.plan.profile.customers) {
      const keyHashes = ['0'.repeat(64)];
      documents.push({kind: RecordKind.CUSTOMER, name, keyHashes});
    }
    const records = documents.map(document => ({
      kind: document['kind'] as RecordKind,
      name: String(document['name']),
      revision: 1,
      document: {
        ...document,
        schemaVersion: 2,
        kind: document['kind'] as RecordKind,
        name: String(document['name']),
      },
      changeId: 'measure',
    }));
    store.apply({after: 0, revision: 1, records}, 'measure');
    return store;
  }
}
