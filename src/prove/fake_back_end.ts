import {problems, ExecutionStatus} from '../errors/index.js';
import {
  CallOrder,
  DispatchKind,
  DispatchResult,
  RecordedAnswer,
} from '../journal/index.js';
import {VirtualClock} from '../time/index.js';
import {ServiceFault} from './call_schedule.js';
import {CallVariant} from './call_variant.js';
import {Recorder} from './history.js';

/** Transport and service time of a call, in milliseconds. */
const SERVICE_MS = 8;
/** Time after which a delayed call runs, in milliseconds. */
const DELAYED_RUN_MS = 4000;
/** Longest wait for a lost answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1000;

/** A fake back end that records which calls ran and injects the current fault. */
export class FakeBackEnd {
  fault: ServiceFault = ServiceFault.NONE;
  private readonly answers = new Map<string, string>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly recorder: Recorder,
    private readonly variant: CallVariant,
  ) {}

  /** Processes a call under the fault that is current when it arrives. */
  async dispatch(order: CallOrder): Promise<DispatchResult> {
    const fault = this.fault;
    const notSent: DispatchResult = {
      kind: DispatchKind.NOT_SENT,
      problem: {
        ...problems.serverFailed('refused'),
        ran: ExecutionStatus.NOT_EXECUTED,
      },
    };
    await this.clock.sleep(SERVICE_MS);
    switch (fault) {
      case ServiceFault.REFUSES:
        return notSent;
      case ServiceFault.CALL_LOST:
        return this.loseAnswer(order);
      case ServiceFault.ANSWER_LOST:
        this.runCall(order);
        return this.loseAnswer(order);
      case ServiceFault.DELAYED:
        void this.clock.sleep(DELAYED_RUN_MS).then(() => this.runCall(order));
        return this.loseAnswer(order);
      default:
        return {kind: DispatchKind.ANSWERED, answer: this.runCall(order)};
    }
  }

  private async loseAnswer(order: CallOrder): Promise<DispatchResult> {
    const leftMs = order.deadlineMs - this.clock.monotonicMs();
    await this.clock.sleep(Math.min(Math.max(0, leftMs), ANSWER_TIMEOUT_MS));
    return this.variant.treatsLostAsNotSent === true
      ? {
          kind: DispatchKind.NOT_SENT,
          problem: {
            ...problems.serverFailed('no answer'),
            ran: ExecutionStatus.NOT_EXECUTED,
          },
        }
      : {kind: DispatchKind.LOST, detail: 'no answer'};
  }

  /** Runs a call. The back end does not deduplicate: every received call runs. */
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
    const otherAnswer =
      this.variant.returnsOtherAnswers === true
        ? [...this.answers.values()].find(other => other !== payload)
        : undefined;
    this.answers.set(key, payload);
    const body = otherAnswer ?? payload;
    return {
      status: 201,
      contentType: 'text/plain',
      bodyBase64: Buffer.from(body).toString('base64'),
    };
  }
}
