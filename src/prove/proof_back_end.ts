import {problems, Ran} from '../errors/index.js';
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

/** Time that a call takes on its way and at work, in milliseconds. */
const SERVICE_MS = 8;
/** Time after which a call that was held up runs, in milliseconds. */
const LATE_MS = 4000;
/** Longest wait for an answer that does not come, in milliseconds. */
const LOST_MS = 1000;

/** The back end of a world of calls: notes what ran, and fails as it is told to. */
export class ProofBackEnd {
  fault: ServiceFault = ServiceFault.NONE;
  private readonly answers = new Map<string, string>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly recorder: Recorder,
    private readonly variant: CallVariant,
  ) {}

  /** Takes a call as it takes calls now. */
  async dispatch(order: CallOrder): Promise<DispatchResult> {
    const fault = this.fault;
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
        void this.clock.sleep(LATE_MS).then(() => this.runCall(order));
        return this.lose(order);
      default:
        return {kind: DispatchKind.ANSWERED, answer: this.runCall(order)};
    }
  }

  private async lose(order: CallOrder): Promise<DispatchResult> {
    const leftMs = order.deadlineMs - this.clock.monotonicMs();
    await this.clock.sleep(Math.min(Math.max(0, leftMs), LOST_MS));
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
}
