import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {
  createModelSection,
  createServerKey,
  LateWatch,
  ModelSum,
  ModelSums,
  modelSectionSchema,
  readModelSection,
  RequestFeatures,
  ServerModels,
  subtractSums,
} from '../../src/server_model/index.js';
import {VirtualClock} from '../../src/time/index.js';

/** One answer, with the prediction made when its request was sent. */
export interface Answer {
  readonly sentMs: number;
  readonly predictedMs: number;
  readonly tookMs: number;
}

const KIND = {route: 'chat', hasPrefill: true};
const STEP_MS = 10;
const REPORT_MS = 400;
const REQUESTS_PER_STEP = 4.18;
const FIXED_MS = 47;
const TOKENS_PER_MS = 112;
/** Length of a slow period, and the share of time in them. */
const SLOW_MS = 600;
const SLOW_SHARE = 0.15;
const SLOW_FACTOR = 2.5;

interface Host {
  readonly models: ServerModels;
  readonly watches: readonly LateWatch[];
  peerSums: ModelSums;
}

/** Answers of 42 engines of different speed, with slow periods, that 61 hosts observe. */
export class ObservedService {
  readonly answers: Answer[] = [];
  private readonly clock = new VirtualClock();
  private readonly random = new SeededRandom(7);
  private readonly engines = Array.from({length: 42}, (_, index) => ({
    factor: 1 + index / 41,
    slowUntilMs: 0,
  }));
  private readonly hosts = Array.from({length: 61}, () => this.createHost());
  private readonly open: {readonly atMs: number; readonly end: () => void}[] =
    [];
  /** Sums of all hosts as of the last report, which members get with the next one. */
  private reportedMs = 0;
  private last: readonly ModelSums[] = [];

  /** @param hasPeers - Whether reports of the hosts arrive. */
  constructor(private readonly hasPeers = true) {}

  /** Sends requests and receives answers for a time. */
  async run(ms: number): Promise<void> {
    const endMs = this.clock.monotonicMs() + ms;
    while (this.clock.monotonicMs() < endMs) {
      await this.clock.advance(STEP_MS);
      this.step();
    }
  }

  private step(): void {
    const nowMs = this.clock.monotonicMs();
    for (const engine of this.engines) {
      const starts = this.random.next() < (SLOW_SHARE * STEP_MS) / SLOW_MS;
      engine.slowUntilMs = starts ? nowMs + SLOW_MS : engine.slowUntilMs;
    }
    const due = this.open.filter(({atMs}) => atMs <= nowMs);
    for (const request of due) {
      this.open.splice(this.open.indexOf(request), 1);
      request.end();
    }
    for (let count = this.random.next(); count < REQUESTS_PER_STEP; count++) {
      this.send(nowMs);
    }
    if (this.hasPeers && nowMs % REPORT_MS < STEP_MS) {
      this.report();
    }
  }

  private send(nowMs: number): void {
    const host = this.hosts[this.pick(this.hosts.length)];
    const index = this.pick(this.engines.length);
    const engine = this.engines[index];
    const watch = host?.watches[index];
    if (host === undefined || engine === undefined || watch === undefined) {
      return;
    }
    const ownTokens = 3000 + 30_000 * this.random.next() ** 2.3;
    const aheadTokens = 20_000 * this.random.next() ** 3;
    const occupancy = this.random.next();
    const times = host.models.getTimes({
      service: 'desk',
      server: `engine-${index}@1`,
      kind: KIND,
      occupancy,
      ownLateness: watch.getLateness(),
    });
    const expectedMs =
      times.fixedMs +
      ownTokens * times.ownTokenMs +
      aheadTokens * times.aheadTokenMs;
    const features: RequestFeatures = {
      kind: KIND,
      ownTokens,
      aheadTokens,
      occupancy,
      slotWaitMs: 0,
      hopMs: 0,
      expectedMs,
    };
    const usualMs =
      FIXED_MS + 20 * occupancy + (ownTokens + aheadTokens) / TOKENS_PER_MS;
    const workMs = usualMs * engine.factor * (0.9 + 0.2 * this.random.next());
    const slowMs = Math.max(0, engine.slowUntilMs - nowMs);
    const slowWorkMs = Math.min(workMs, slowMs / SLOW_FACTOR);
    const tookMs = workMs + (SLOW_FACTOR - 1) * slowWorkMs;
    const lateMs = Math.max(times.waitingMs, times.lateShare * expectedMs);
    const predictedMs = expectedMs + lateMs;
    const endWait = watch.add(expectedMs);
    const end = () => {
      endWait(tookMs);
      const server = `engine-${index}@1`;
      host.models.observe('desk', server, features, predictedMs, tookMs);
      this.answers.push({sentMs: nowMs, predictedMs, tookMs});
    };
    this.open.push({atMs: nowMs + tookMs, end});
  }

  /** Delivers the sums of the last reports, and collects new ones, through messages. */
  private report(): void {
    this.reportedMs = this.clock.monotonicMs();
    const whole = new ModelSum();
    for (const sums of this.last) {
      whole.add(sums, REPORT_MS);
    }
    for (const [index, host] of this.hosts.entries()) {
      const own = this.last[index];
      host.peerSums =
        own === undefined
          ? host.peerSums
          : transfer(subtractSums(whole.get(), own, REPORT_MS));
    }
    this.last = this.hosts.map(({models, watches}) => {
      const late = watches.map((watch, index): [string, number[]] => [
        createServerKey(`engine-${index}@1`),
        [watch.getLateness().count, watch.getLateness().shares],
      ]);
      const listed = late.filter(([, [count = 0]]) => count > 0.2);
      return transfer({...models.listSums(), late: new Map(listed)});
    });
  }

  private createHost(): Host {
    const empty = new ModelSum().get();
    const host: Host = {
      peerSums: empty,
      watches: this.engines.map(() => new LateWatch(this.clock)),
      models: new ServerModels({
        clock: this.clock,
        log: new SilentLog(),
        metrics: new Metrics(),
        isEnabled: () => true,
        sumPeers: () => {
          const sum = new ModelSum();
          sum.add(host.peerSums, this.clock.monotonicMs() - this.reportedMs);
          return sum.get();
        },
      }),
    };
    return host;
  }

  private pick(count: number): number {
    return Math.floor(this.random.next() * count);
  }
}

function transfer(sums: ModelSums): ModelSums {
  const section = createModelSection(sums);
  return section === undefined
    ? sums
    : readModelSection(modelSectionSchema.parse(section)).sums;
}
