import {Result} from 'true-myth';
import {CallOutcome, OutcomeKind} from '../journal/index.js';
import {PeerFailure, PeerFailureKind} from '../peer/index.js';
import {MemoryTableService} from '../table/index.js';
import {
  CallMessage,
  fromCallMessage,
  AtMostOnceCall,
} from '../service/index.js';
import {VirtualClock} from '../time/index.js';
import {
  CallSchedule,
  CallStep,
  HOST_COUNT,
  ServiceFault,
} from './call_schedule.js';
import {FaultyTable, TableFault} from './faulty_table.js';
import {CallVariant} from './call_variant.js';
import {History, Recorder} from './history.js';
import {FakeBackEnd} from './fake_back_end.js';
import {createCallOrder, readAnswer, toCallerOutcome} from './call_request.js';
import {isLive, SimulatedHost} from './simulated_host.js';
import {startSimulatedHost} from './start_simulated_host.js';

const PEER_LATENCY_MS = 3;
const SETTLE_MS = 40_000;
const WATCH_INTERVAL_MS = 1000;
const RETRY_DELAY_MS = 100;
const MAX_RETRIES = 2;
const NOTICE_MS = 15_000;

/**
 * Simulates three entry hosts that run the product's own journal and call
 * handling on a virtual clock. The table, the peer connections and the back end are fakes.
 */
export class CallSimulation {
  private readonly clock = new VirtualClock();
  private readonly table = new FaultyTable(
    new MemoryTableService(),
    this.clock,
  );
  private readonly recorder = new Recorder();
  private readonly hosts: SimulatedHost[] = [];
  private readonly backEnd: FakeBackEnd;
  private duplicatesRequests = false;
  private incarnationCount = 0;
  private requestCount = 0;
  /** Keys already sent: a caller knows whether its request is a retry. */
  private readonly sentKeys = new Set<string>();

  /**
   * @param variant - Defects of the broken variant; empty for the product.
   * @param usesBalancer - Whether callers connect through a load balancer that
   *   skips hosts that are not ready; otherwise they also reach leaving hosts.
   */
  constructor(
    private readonly variant: CallVariant,
    private readonly usesBalancer: boolean,
  ) {
    this.backEnd = new FakeBackEnd(this.clock, this.recorder, variant);
  }

  /**
   * Runs a schedule to completion.
   * @param schedule - Calls and faults.
   * @returns What callers and the back end observed.
   */
  async run(schedule: CallSchedule): Promise<History> {
    for (let index = 0; index < HOST_COUNT; index++) {
      this.hosts.push(this.startHost(index));
    }
    await this.clock.advance(WATCH_INTERVAL_MS * 2);
    for (const {afterMs, step} of schedule) {
      await this.clock.advance(afterMs);
      this.execute(step);
    }
    await this.clock.advance(SETTLE_MS / 2);
    if (!this.hosts.some(host => isLive(host))) {
      // The platform replaces hosts: accepted calls wait for the replacement.
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
      void this.sendCall(step);
      return;
    }
    this.recorder.addFault();
    switch (step.kind) {
      case 'table':
        this.table.fault = step.fault;
        this.runAfter(step.forMs, () => (this.table.fault = TableFault.NONE));
        return;
      case 'service':
        this.backEnd.fault = step.fault;
        this.runAfter(
          step.forMs,
          () => (this.backEnd.fault = ServiceFault.NONE),
        );
        return;
      case 'duplicate':
        this.duplicatesRequests = true;
        this.runAfter(step.forMs, () => (this.duplicatesRequests = false));
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
        this.runAfter(step.forMs, () => host.gate.thaw());
        return;
      case 'cut':
        host.cut = true;
        this.runAfter(step.forMs, () => (host.cut = false));
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

  /** Shuts down as the product does: hands its books over, then terminates. */
  private async leave(host: SimulatedHost): Promise<void> {
    if (host.leaving || host.gate.isDead()) {
      return;
    }
    host.leaving = true;
    if (this.variant.terminatesAtOnce === true) {
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
        // Neither a peer nor the table was reachable within the notice period.
        this.recorder.addCrash();
        break;
      }
      await this.clock.sleep(RETRY_DELAY_MS);
    }
    await this.clock.sleep(WATCH_INTERVAL_MS);
    host.stop.abort();
    host.gate.kill();
  }

  private async restart(index: number, host: SimulatedHost): Promise<void> {
    if (this.usesBalancer && host.leaving && !host.gate.isDead()) {
      // A planned shutdown is in progress; a second one has no effect.
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

  /**
   * Sends a call as a caller does: retries through the next host until the call
   * is answered or accepted, at most `MAX_RETRIES` times.
   */
  private async sendCall(
    step: Extract<CallStep, {readonly kind: 'call'}>,
  ): Promise<void> {
    const key = `key-${step.key}`;
    for (let retry = 0; retry <= MAX_RETRIES; retry++) {
      const host = this.chooseHost(step.host + retry);
      if (host === undefined) {
        // No host is ready, so the balancer cannot forward the call.
        await this.clock.sleep(RETRY_DELAY_MS);
        continue;
      }
      const instance = `ask-${this.requestCount++}`;
      const payload = `payload of ${key}`;
      this.recorder.add({
        kind: 'asked',
        atMs: this.clock.monotonicMs(),
        instance,
        key,
        payload,
      });
      const order = createCallOrder({
        key,
        instance,
        payload,
        deadlineMs: this.clock.monotonicMs() + step.timeoutMs,
        respondAsync: step.async,
      });
      const firstAttempt = !this.sentKeys.has(key);
      this.sentKeys.add(key);
      const call = {order, key, firstAttempt};
      host.inFlight++;
      const outcome = await this.callHost(host, call);
      host.inFlight--;
      const callerOutcome = toCallerOutcome(outcome);
      this.recorder.add({
        kind: 'told',
        atMs: this.clock.monotonicMs(),
        instance,
        key,
        outcome: callerOutcome,
        ...(outcome?.kind === OutcomeKind.ANSWERED
          ? {payload: readAnswer(outcome.answer)}
          : {}),
      });
      if (callerOutcome === 'answered' || callerOutcome === 'accepted') {
        return;
      }
      await this.clock.sleep(RETRY_DELAY_MS);
    }
  }

  /** A balancer sends no new call to a host that is leaving or dead. */
  private chooseHost(index: number): SimulatedHost | undefined {
    if (!this.usesBalancer) {
      return this.getHost(index);
    }
    for (let turn = 0; turn < HOST_COUNT; turn++) {
      const host = this.getHost(index + turn);
      if (!host.leaving && !host.gate.isDead()) {
        return host;
      }
    }
    return undefined;
  }

  /** Resolves to `undefined` when the host is dead or does not answer in time. */
  private async callHost(
    host: SimulatedHost,
    call: AtMostOnceCall,
  ): Promise<CallOutcome | undefined> {
    const limitMs = call.order.deadlineMs - this.clock.monotonicMs() + 10_000;
    const noAnswer = this.clock.sleep(limitMs).then(() => undefined);
    const answered = host.gate.isDead()
      ? Promise.resolve(undefined)
      : host.gate.call(() => host.calls.run(call));
    return Promise.race([answered, noAnswer]);
  }

  private startHost(index: number): SimulatedHost {
    return startSimulatedHost({
      name: `host-${index}`,
      incarnation: `start${this.incarnationCount++}`,
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
      await this.clock.sleep(PEER_LATENCY_MS);
      return Result.err(
        new PeerFailure(PeerFailureKind.NOT_SENT, 'no connection'),
      );
    }
    const deliver = async () => {
      await this.clock.sleep(PEER_LATENCY_MS);
      const order = fromCallMessage(call, this.clock.monotonicMs());
      return target.gate.call(() => target.bookkeeper.run(call.book, order));
    };
    if (this.duplicatesRequests) {
      void this.clock.sleep(timeoutMs / 2).then(deliver);
    }
    const reply = deliver().then(value =>
      Result.ok<unknown, PeerFailure>(value),
    );
    const timedOut = this.clock
      .sleep(timeoutMs)
      .then(() =>
        Result.err<unknown, PeerFailure>(
          new PeerFailure(PeerFailureKind.SENT, 'no reply'),
        ),
      );
    return Promise.race([reply, timedOut]);
  }

  private getHost(index: number): SimulatedHost {
    const host = this.hosts[index % HOST_COUNT];
    if (host === undefined) {
      throw new Error(`no host with index ${index}`);
    }
    return host;
  }

  private runAfter(ms: number, act: () => void): void {
    void this.clock.sleep(ms).then(act);
  }
}
