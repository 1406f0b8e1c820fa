import {Result} from 'true-myth';
import {CallOutcome, OutcomeKind} from '../journal/index.js';
import {PeerFailure, PeerFailureKind} from '../peer/index.js';
import {MemoryTableService} from '../table/index.js';
import {CallMessage, fromCallMessage, OnceCall} from '../service/index.js';
import {VirtualClock} from '../time/index.js';
import {CallSchedule, CallStep, HOSTS, ServiceFault} from './call_schedule.js';
import {FaultyTable, TableFault} from './faulty_table.js';
import {CallVariant} from './call_variant.js';
import {History, Recorder} from './history.js';
import {ProofBackEnd} from './proof_back_end.js';
import {createProofOrder, readAnswer, toTold} from './proof_call.js';
import {isLive, ProofHost} from './proof_host.js';
import {startProofHost} from './start_proof_host.js';

const PEER_MS = 3;
const SETTLE_MS = 40_000;
const WATCH_MS = 1000;
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
  private readonly backEnd: ProofBackEnd;
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
  ) {
    this.backEnd = new ProofBackEnd(this.clock, this.recorder, variant);
  }

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
    if (!this.hosts.some(host => isLive(host))) {
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
        this.backEnd.fault = step.fault;
        this.after(step.forMs, () => (this.backEnd.fault = ServiceFault.NONE));
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
      .filter(other => isLive(other) && other !== host)
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
      const order = createProofOrder({
        key,
        instance,
        payload,
        deadlineMs: this.clock.monotonicMs() + step.timeoutMs,
        respondAsync: step.async,
      });
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

  private startHost(index: number): ProofHost {
    return startProofHost({
      name: `host-${index}`,
      incarnation: `start${this.starts++}`,
      clock: this.clock,
      table: this.table,
      variant: this.variant,
      backEnd: this.backEnd,
      listHosts: () => this.hosts,
      requestPeer: (from, to, body, timeoutMs) =>
        this.requestPeer(from, to, body, timeoutMs),
    });
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
