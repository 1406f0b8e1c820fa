import {GenerationFormat} from '../backend/index.js';
import {ConfigurationStore, RecordKind} from '../configuration/index.js';
import {FakeEngine, getExpectedTokens} from '../fakes/index.js';
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
import {chooseServer, RetryBudget, ServerDirectory} from '../routing/index.js';
import {VirtualClock} from '../time/index.js';
import {RunReport} from './proof.js';
import {FaultyEngine} from './faulty_engine.js';
import {StreamSchedule, StreamStep} from './stream_schedule.js';

/** Defects of a deliberately broken variant; all unset in the product itself. */
export interface StreamVariant {
  /** Tokens are forwarded without checking their request and position. */
  readonly skipsTokenCheck?: boolean;
  /** Streams are neither retried after a failure nor moved off a reclaimed server. */
  readonly disablesRecovery?: boolean;
}

const ENGINE_COUNT = 3;
const DECODE_MS = 10;
const SETTLE_MS = 60_000;
const DEADLINE_MS = 50_000;

/** A caller's reading of one generation, which it may resume after a disconnection. */
interface StreamReader {
  readonly generation: Generation;
  readonly texts: string[];
  outcome: 'open' | 'finished' | 'failed';
}

/** Simulates the generations of one entry host on three engines, on a virtual clock. */
export class StreamSimulation {
  private readonly clock = new VirtualClock();
  private readonly engines: FaultyEngine[] = [];
  private readonly readers: StreamReader[] = [];
  private readonly notices = new Map<string, number>();
  private readonly directory: ServerDirectory;
  private readonly runner: GenerationRunner;
  private readonly watch: ReclaimWatch;
  private faults = 0;

  constructor(
    private readonly variant: StreamVariant,
    private readonly mustFinish: boolean,
  ) {
    const configuration = createConfiguration();
    for (let index = 0; index < ENGINE_COUNT; index++) {
      this.engines.push(new FaultyEngine(this.createEngine(index), this.clock));
    }
    this.directory = new ServerDirectory(
      {
        createEngine: server => this.getEngine(Number(server.name.slice(-1))),
        createService: () => {
          throw new Error('the simulation has no service servers');
        },
      },
      this.clock,
      'tac-hall',
      () => 1,
    );
    this.directory.setServers(configuration.getView().servers.values());
    const running = new RunningGenerations();
    const lengths = new AnswerLengths();
    const budget = new RetryBudget(this.clock);
    const common = {clock: this.clock, log: new SilentLog(), configuration};
    this.runner = new GenerationRunner({
      ...common,
      random: new SeededRandom(1),
      directory: this.directory,
      budget:
        variant.disablesRecovery === true
          ? Object.assign(budget, {spend: () => false})
          : budget,
      quarantine: new Quarantine({...common, metrics: new Metrics()}),
      terminatedServers: new TerminatedServers(this.clock, async () => false),
      running,
      meter: {addToken: () => undefined},
      lengths,
      chooseServer,
      checkToken:
        variant.skipsTokenCheck === true ? () => undefined : checkToken,
      isLeaving: server =>
        variant.disablesRecovery !== true && this.notices.has(server),
      firstTokenTimeoutMs: 5000,
      tokenTimeoutMs: 1000,
    });
    this.watch = new ReclaimWatch({
      ...common,
      directory: this.directory,
      running,
      lengths,
      runner: this.runner,
      getRemainingMs: server => this.getRemainingMs(server),
      transferRate: 20_000,
      importSlots: 2,
    });
  }

  /** Runs a schedule and checks every stream. */
  async run(schedule: StreamSchedule): Promise<RunReport> {
    const stop = new AbortController();
    void this.pollLoads(stop.signal);
    if (this.variant.disablesRecovery !== true) {
      void this.watch.run(stop.signal);
    }
    await this.clock.advance(600);
    for (const {afterMs, step} of schedule) {
      await this.clock.advance(afterMs);
      this.execute(step);
    }
    await this.clock.advance(SETTLE_MS);
    stop.abort();
    return this.createReport();
  }

  private execute(step: StreamStep): void {
    if (step.kind === 'generate') {
      this.generate(step.prompt, step.tokens);
      return;
    }
    if (step.kind === 'reattach') {
      const reading = this.readers[step.reading % (this.readers.length || 1)];
      if (reading !== undefined) {
        void this.read(reading);
      }
      return;
    }
    this.faults++;
    const engine = this.getEngine(step.engine);
    if (step.kind === 'reclaim') {
      const {name} = engine.engine.options;
      const isLast = this.notices.size >= ENGINE_COUNT - 1;
      if (!isLast && !this.notices.has(name)) {
        this.notices.set(name, this.clock.monotonicMs() + step.noticeMs);
        void this.clock.sleep(step.noticeMs).then(() => engine.kill());
      }
      return;
    }
    engine.nextFault = step.kind;
  }

  private generate(prompt: number, tokens: number): void {
    const nowMs = this.clock.monotonicMs();
    const body = {prompt: `lot ${prompt} `.repeat(20), max_tokens: tokens};
    const generation = new Generation(
      {
        id: `generation-${this.readers.length}`,
        customer: 'north-house',
        deployment: 'dossier',
        adapter: '',
        format: GenerationFormat.TEXT,
        body: {...body, model: 'dossier'},
        urgency: 3,
        deadlineMs: nowMs + DEADLINE_MS,
      },
      [],
      nowMs,
    );
    const reading: StreamReader = {generation, texts: [], outcome: 'open'};
    this.readers.push(reading);
    void this.runner.run(generation, new AbortController().signal);
    void this.read(reading);
  }

  /** Reads from the position after the last token received, as a caller does that reconnects. */
  private async read(reading: StreamReader): Promise<void> {
    const abort = new AbortController();
    const events = reading.generation.read(
      reading.texts.length,
      abort.signal,
      () => this.clock.monotonicMs(),
    );
    for await (const event of events) {
      if (event.kind === 'token') {
        if (event.position === reading.texts.length) {
          reading.texts.push(event.text);
        }
        continue;
      }
      reading.outcome = event.kind;
    }
  }

  private createReport(): RunReport {
    const violations: string[] = [];
    let answered = 0;
    for (const {generation, texts, outcome} of this.readers) {
      const expected = getExpectedTokens(generation.request.body);
      const isComplete = texts.join('') === expected.join('');
      const isPrefix = expected.join('').startsWith(texts.join(''));
      answered += outcome === 'finished' ? 1 : 0;
      if (outcome === 'finished' && !isComplete) {
        violations.push(`${generation.request.id} finished, but is incomplete`);
      }
      if (!isPrefix) {
        violations.push(
          `${generation.request.id} has tokens that are not its own`,
        );
      }
      if (outcome !== 'finished' && this.mustFinish) {
        violations.push(`${generation.request.id} did not finish`);
      }
    }
    return {
      violations,
      operations: this.readers.length,
      faults: this.faults,
      answered,
      refused: 0,
      unknown: this.readers.length - answered,
    };
  }

  private async pollLoads(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const {engine} of this.engines) {
        const load = await engine.getLoad();
        if (load.isOk) {
          this.directory.addLoad(engine.options.name, load.value, 0);
        }
      }
      await this.clock.sleep(500, signal);
    }
  }

  private getRemainingMs(server: string): number | undefined {
    const deadlineMs = this.notices.get(server);
    return deadlineMs === undefined
      ? undefined
      : deadlineMs - this.clock.monotonicMs();
  }

  private getEngine(index: number): FaultyEngine {
    const engine = this.engines[index % ENGINE_COUNT];
    if (engine === undefined) {
      throw new Error(`no engine with index ${index}`);
    }
    return engine;
  }

  private createEngine(index: number): FakeEngine {
    return new FakeEngine(
      {
        name: `engine-${index}`,
        capacity: 4,
        prefillRate: 8000,
        decodeMs: DECODE_MS,
        cacheBlocks: 256,
        models: [{name: 'm', version: '1', adapters: []}],
        checkFence: true,
      },
      this.clock,
    );
  }
}

function createConfiguration(): ConfigurationStore {
  const store = new ConfigurationStore(new SilentLog());
  const servers = Array.from({length: ENGINE_COUNT}, (_unused, index) => ({
    schemaVersion: 2,
    kind: RecordKind.SERVER,
    name: `engine-${index}`,
    runs: 'engine',
    dataCentre: 'tac-hall',
    address: '127.0.0.1:1',
  }));
  const deployment = {
    schemaVersion: 2,
    kind: RecordKind.DEPLOYMENT,
    name: 'dossier',
    target: {kind: 'model', model: 'm', version: '1'},
  };
  const documents = [...servers, deployment];
  store.apply(
    {
      after: 0,
      revision: 1,
      records: documents.map(document => ({
        kind: document.kind,
        name: document.name,
        revision: 1,
        document,
        changeId: 'proof',
      })),
    },
    'proof',
  );
  return store;
}
