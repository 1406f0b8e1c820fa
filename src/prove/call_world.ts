import {Result} from 'true-myth';
import {problems, Ran} from '../errors/index.js';
import {
  BookDirectory,
  Bookkeeper,
  CallOrder,
  CallOutcome,
  DispatchKind,
  DispatchResult,
  getBookOfKey,
  getEntryKey,
  isSlotBook,
  KeyMint,
  OutcomeKind,
  RecordedAnswer,
} from '../journal/index.js';
import {SilentLog} from '../log/index.js';
import {PeerFailure, PeerFailureKind} from '../peer/index.js';
import {MemoryTableService} from '../table/index.js';
import {fromCallMessage, OnceCalls} from '../service/index.js';
import {CallMessage, OnceCall} from '../service/index.js';
import {VirtualClock} from '../time/index.js';
import {CallSchedule, CallStep, HOSTS, ServiceFault} from './call_schedule.js';
import {FaultyTable, TableFault} from './faulty_table.js';
import {Gate, GatedClock} from './gate.js';
import {History, Recorder, Told} from './history.js';

/** How a variant differs from the product; all false in the product itself. */
export interface CallVariant {
  /** Calls are dispatched before they are recorded. */
  readonly dispatchesFirst?: boolean;
  /** A lost answer is taken for a call that was not sent. */
  readonly trustsSilence?: boolean;
  /** Answers of another key are passed on. */
  readonly crossesAnswers?: boolean;
  /** Books are handed over without their entries. */
  readonly dropsEntries?: boolean;
  /** A planned stop ends the process at once. */
  readonly stopsAtOnce?: boolean;
}

/** One start of one entry host. */
interface ProofHost {
  readonly name: string;
  readonly incarnation: string;
  readonly gate: Gate;
  readonly bookkeeper: Bookkeeper;
  readonly calls: OnceCalls;
  readonly directory: BookDirectory;
  readonly stop: AbortController;
  leaving: boolean;
  cut: boolean;
  /** Callers' requests being answered. */
  inFlight: number;
}

const CUSTOMER = 'north-house';
const DEPLOYMENT = 'bids';
const PEER_MS = 3;
const SERVICE_MS = 8;
const LATE_MS = 4000;
const SETTLE_MS = 40_000;
const WATCH_MS = 1000;
const LEASE_MS = 3000;
const RETRY_MS = 100;
const RETRIES = 2;
const NOTICE_MS = 15_000;

/**
 * Three entry hosts of the product's own books and calls, on a virtual clock,
 * with small fakes at the interfaces: table, peers and back end.
 */
export class CallWorld {
  private readonly clock = new VirtualClock();
  private readonly table = new FaultyTable(
    new MemoryTableService(),
    this.clock,
  );
  private readonly recorder = new Recorder();
  private readonly hosts: ProofHost[] = [];
  private readonly answers = new Map<string, string>();
  private serviceFault: ServiceFault = ServiceFault.NONE;
  private duplicating = false;
  private starts = 0;
  private asks = 0;
  /** Keys that were sent before: callers know that of their own. */
  private readonly askedKeys = new Set<string>();

  /**
   * @param variant - What is broken, if anything.
   * @param balances - Whether callers come through a balancer that asks hosts
   *   whether they are ready; without it they also ask hosts that leave.
   */
  constructor(
    private readonly variant: CallVariant,
    private readonly balances: boolean,
  ) {}

  /**
   * Runs a schedule to its end.
   * @param schedule - Calls and faults.
   * @returns What callers and the back end saw.
   */
  async run(schedule: CallSchedule): Promise<History> {
    for (let index = 0; index < HOSTS; index++) {
      this.hosts.push(this.startHost(index));
    }
    await this.clock.advance(WATCH_MS * 2);
    for (const {afterMs, step} of schedule) {
      await this.clock.advance(afterMs);
      this.execute(step);
    }
    await this.clock.advance(SETTLE_MS / 2);
    if (!this.hosts.some(host => this.isLive(host))) {
      // The platform replaces hosts: what was accepted waits for the next one.
      this.hosts[0] = this.startHost(0);
    }
    await this.clock.advance(SETTLE_MS);
    for (const host of this.hosts) {
      host.stop.abort();
      host.gate.kill();
    }
    return this.recorder.getHistory();
  }

  private execute(step: CallStep): void {
    if (step.kind === 'call') {
      void this.ask(step);
      return;
    }
    this.recorder.addFault();
    switch (step.kind) {
      case 'table':
        this.table.fault = step.fault;
        this.after(step.forMs, () => (this.table.fault = TableFault.NONE));
        return;
      case 'service':
        this.serviceFault = step.fault;
        this.after(step.forMs, () => (this.serviceFault = ServiceFault.NONE));
        return;
      case 'duplicate':
        this.duplicating = true;
        this.after(step.forMs, () => (this.duplicating = false));
        return;
      default:
        this.executeOnHost(step);
    }
  }

  private executeOnHost(
    step: Extract<CallStep, {readonly host: number}>,
  ): void {
    const host = this.getHost(step.host);
    switch (step.kind) {
      case 'freeze':
        host.gate.freeze();
        this.after(step.forMs, () => host.gate.thaw());
        return;
      case 'cut':
        host.cut = true;
        this.after(step.forMs, () => (host.cut = false));
        return;
      case 'kill':
        this.recorder.addCrash();
        host.gate.kill();
        host.stop.abort();
        return;
      case 'leave':
        void this.leave(host);
        return;
      case 'restart':
        void this.restart(step.host, host);
        return;
      case 'call':
        return;
    }
  }

  /** Leaves as the product does: hands books over, then ends. */
  private async leave(host: ProofHost): Promise<void> {
    if (host.leaving || host.gate.isDead()) {
      return;
    }
    host.leaving = true;
    if (this.variant.stopsAtOnce === true) {
      host.stop.abort();
      host.gate.kill();
      return;
    }
    const successors = this.hosts
      .filter(other => this.isLive(other) && other !== host)
      .map(other => other.name);
    const endMs = this.clock.monotonicMs() + NOTICE_MS;
    const handedOver = host.bookkeeper.handOver(successors);
    await Promise.race([handedOver, this.clock.sleep(NOTICE_MS)]);
    while (host.bookkeeper.countPending() + host.inFlight > 0) {
      if (this.clock.monotonicMs() >= endMs) {
        // Neither a peer nor the table could be reached in all the notice.
        this.recorder.addCrash();
        break;
      }
      await this.clock.sleep(RETRY_MS);
    }
    await this.clock.sleep(WATCH_MS);
    host.stop.abort();
    host.gate.kill();
  }

  private async restart(index: number, host: ProofHost): Promise<void> {
    if (this.balances && host.leaving && !host.gate.isDead()) {
      // A planned stop is under way; a second one changes nothing.
      return;
    }
    await this.leave(host);
    if (!host.gate.isDead()) {
      this.recorder.addCrash();
      host.gate.kill();
      host.stop.abort();
    }
    this.hosts[index] = this.startHost(index);
  }

  /** Asks as a caller does: again through the next host, while told to. */
  private async ask(
    step: Extract<CallStep, {readonly kind: 'call'}>,
  ): Promise<void> {
    const key = `key-${step.key}`;
    for (let retry = 0; retry <= RETRIES; retry++) {
      const host = this.chooseHost(step.host + retry);
      if (host === undefined) {
        // No host is ready, so the balancer has nowhere to send it.
        await this.clock.sleep(RETRY_MS);
        continue;
      }
      const instance = `ask-${this.asks++}`;
      const payload = `payload of ${key}`;
      this.recorder.add({
        kind: 'asked',
        atMs: this.clock.monotonicMs(),
        instance,
        key,
        payload,
      });
      const order = this.createOrder(key, instance, payload, step);
      const firstAttempt = !this.askedKeys.has(key);
      this.askedKeys.add(key);
      const call = {order, key, firstAttempt};
      host.inFlight++;
      const outcome = await this.callHost(host, call);
      host.inFlight--;
      const told = toTold(outcome);
      this.recorder.add({
        kind: 'told',
        atMs: this.clock.monotonicMs(),
        instance,
        key,
        told,
        ...(outcome?.kind === OutcomeKind.ANSWERED
          ? {payload: readAnswer(outcome.answer)}
          : {}),
      });
      if (told === 'answered' || told === 'accepted') {
        return;
      }
      await this.clock.sleep(RETRY_MS);
    }
  }

  /** With a balancer, hosts that leave or are dead get nothing new. */
  private chooseHost(index: number): ProofHost | undefined {
    if (!this.balances) {
      return this.getHost(index);
    }
    for (let turn = 0; turn < HOSTS; turn++) {
      const host = this.getHost(index + turn);
      if (!host.leaving && !host.gate.isDead()) {
        return host;
      }
    }
    return undefined;
  }

  /** Resolves to nothing when the host dies before it answers. */
  private async callHost(
    host: ProofHost,
    call: OnceCall,
  ): Promise<CallOutcome | undefined> {
    const limitMs = call.order.deadlineMs - this.clock.monotonicMs() + 10_000;
    const nothing = this.clock.sleep(limitMs).then(() => undefined);
    const asked = host.gate.isDead()
      ? Promise.resolve(undefined)
      : host.gate.call(() => host.calls.run(call));
    return Promise.race([asked, nothing]);
  }

  private createOrder(
    key: string,
    instance: string,
    payload: string,
    step: Extract<CallStep, {readonly kind: 'call'}>,
  ): CallOrder {
    return {
      entryKey: getEntryKey(CUSTOMER, key),
      requestId: `id-of-${key}`,
      customer: CUSTOMER,
      deployment: DEPLOYMENT,
      fingerprint: payload,
      call: {
        requestId: `id-of-${key}`,
        method: 'POST',
        path: '/bids',
        contentType: 'text/plain',
        body: Buffer.from(payload),
        key,
      },
      deadlineMs: this.clock.monotonicMs() + step.timeoutMs,
      respondAsync: step.async,
      instance,
      copy: 0,
    };
  }

  private startHost(index: number): ProofHost {
    const name = `host-${index}`;
    const incarnation = `start${this.starts++}`;
    const gate = new Gate();
    const clock = new GatedClock(this.clock, gate);
    const directory = new BookDirectory(name);
    const mint = new KeyMint(name, incarnation);
    const stop = new AbortController();
    const bookkeeper = new Bookkeeper({
      host: name,
      incarnation,
      table: {
        get: key => gate.call(() => this.table.get(key)),
        list: prefix => gate.call(() => this.table.list(prefix)),
        transact: steps => gate.call(() => this.table.transact(steps)),
      },
      clock,
      log: new SilentLog(),
      directory,
      listLiveHosts: () =>
        this.hosts.filter(host => this.isLive(host)).map(host => host.name),
      isGone: (other, start) =>
        this.hosts.some(
          host => host.name === other && host.incarnation !== start,
        ),
      book: {
        clock,
        log: new SilentLog(),
        dispatch: order => gate.call(() => this.dispatch(order)),
        lookUp: () => Promise.resolve(undefined),
        mintKey: () => mint.mint(),
        recordPatienceMs: 1200,
        acceptedRetryMs: 500,
        retentionMs: 600_000,
      },
      recordsFirst: book =>
        isSlotBook(book) && this.variant.dispatchesFirst !== true,
      writesPerSecond: 1000,
      leaseMs: LEASE_MS,
      watchMs: WATCH_MS,
      lingerMs: 20,
      retryMs: RETRY_MS,
      retentionMs: 600_000,
      ownsSlot: slot => this.isUsed(slot),
      sendBook: async (to, handover) => {
        const peer = this.hosts.find(host => host.name === to);
        if (peer === undefined || !peer.gate.isOpen()) {
          return false;
        }
        const entries =
          this.variant.dropsEntries === true ? [] : handover.entries;
        return peer.bookkeeper.receiveBook({...handover, entries});
      },
      sendOutcome: async (to, book, entry) => {
        const peer = this.hosts.find(host => host.name === to);
        return peer?.gate.isOpen() === true && !peer.cut
          ? peer.bookkeeper.addLateOutcome(book, entry)
          : false;
      },
    });
    const calls = new OnceCalls({
      host: name,
      clock,
      log: new SilentLog(),
      bookkeeper,
      directory,
      requestPeer: (to, body, timeoutMs) =>
        gate.call(() => this.requestPeer(name, to, body, timeoutMs)),
      mintKey: () => mint.mint(),
    });
    const host: ProofHost = {
      name,
      incarnation,
      gate,
      bookkeeper,
      calls,
      directory,
      stop,
      leaving: false,
      cut: false,
      inFlight: 0,
    };
    void bookkeeper.watch(stop.signal);
    return host;
  }

  /** Only the books that the keys of schedules fall into are worked with. */
  private isUsed(book: string): boolean {
    for (let key = 0; key < 4; key++) {
      if (getBookOfKey(getEntryKey(CUSTOMER, `key-${key}`)) === book) {
        return true;
      }
    }
    return false;
  }

  private async requestPeer(
    from: string,
    to: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerFailure>> {
    const source = this.hosts.find(host => host.name === from);
    const target = this.hosts.find(host => host.name === to);
    const {kind, call} = body as {kind: string; call: CallMessage};
    if (
      target === undefined ||
      target.gate.isDead() ||
      target.cut ||
      source?.cut === true ||
      kind !== 'run-call'
    ) {
      await this.clock.sleep(PEER_MS);
      return Result.err(
        new PeerFailure(PeerFailureKind.NOT_SENT, 'no connection'),
      );
    }
    const deliver = async () => {
      await this.clock.sleep(PEER_MS);
      const order = fromCallMessage(call, this.clock.monotonicMs());
      return target.gate.call(() => target.bookkeeper.run(call.book, order));
    };
    if (this.duplicating) {
      void this.clock.sleep(timeoutMs / 2).then(deliver);
    }
    const reply = deliver().then(value =>
      Result.ok<unknown, PeerFailure>(value),
    );
    const lost = this.clock
      .sleep(timeoutMs)
      .then(() =>
        Result.err<unknown, PeerFailure>(
          new PeerFailure(PeerFailureKind.SENT, 'no reply'),
        ),
      );
    return Promise.race([reply, lost]);
  }

  private async dispatch(order: CallOrder): Promise<DispatchResult> {
    const fault = this.serviceFault;
    const notSent: DispatchResult = {
      kind: DispatchKind.NOT_SENT,
      problem: {...problems.serverFailed('refused'), ran: Ran.NO},
    };
    await this.clock.sleep(SERVICE_MS);
    switch (fault) {
      case ServiceFault.REFUSES:
        return notSent;
      case ServiceFault.CALL_LOST:
        return this.lose(order);
      case ServiceFault.ANSWER_LOST:
        this.runCall(order);
        return this.lose(order);
      case ServiceFault.LATE:
        this.after(LATE_MS, () => this.runCall(order));
        return this.lose(order);
      default:
        return {kind: DispatchKind.ANSWERED, answer: this.runCall(order)};
    }
  }

  private async lose(order: CallOrder): Promise<DispatchResult> {
    const leftMs = order.deadlineMs - this.clock.monotonicMs();
    await this.clock.sleep(Math.min(Math.max(0, leftMs), 1000));
    return this.variant.trustsSilence === true
      ? {
          kind: DispatchKind.NOT_SENT,
          problem: {...problems.serverFailed('silent'), ran: Ran.NO},
        }
      : {kind: DispatchKind.LOST, detail: 'no answer'};
  }

  /** The back end deduplicates nothing: every call that arrives runs. */
  private runCall(order: CallOrder): RecordedAnswer {
    const key = order.call.key ?? '';
    const payload = Buffer.from(order.call.body).toString();
    this.recorder.add({
      kind: 'ran',
      atMs: this.clock.monotonicMs(),
      instance: order.instance,
      key,
      payload,
    });
    const crossed =
      this.variant.crossesAnswers === true
        ? [...this.answers.values()].find(other => other !== payload)
        : undefined;
    this.answers.set(key, payload);
    const body = crossed ?? payload;
    return {
      status: 201,
      contentType: 'text/plain',
      bodyBase64: Buffer.from(body).toString('base64'),
    };
  }

  private isLive(host: ProofHost): boolean {
    return host.gate.isOpen() && !host.leaving && !host.cut;
  }

  private getHost(index: number): ProofHost {
    const host = this.hosts[index % HOSTS];
    if (host === undefined) {
      throw new Error(`there is no host ${index}`);
    }
    return host;
  }

  private after(ms: number, act: () => void): void {
    void this.clock.sleep(ms).then(act);
  }
}

function toTold(outcome: CallOutcome | undefined): Told {
  switch (outcome?.kind) {
    case OutcomeKind.ANSWERED:
      return 'answered';
    case OutcomeKind.ACCEPTED:
      return 'accepted';
    case OutcomeKind.FAILED:
      return outcome.problem.ran === Ran.NO ? 'did-not-run' : 'unknown';
    case OutcomeKind.MOVED:
      return 'unknown';
    default:
      return 'nothing';
  }
}

function readAnswer(answer: RecordedAnswer): string {
  return Buffer.from(answer.bodyBase64 ?? '', 'base64').toString();
}
