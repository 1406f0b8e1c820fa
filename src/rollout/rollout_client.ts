import {Result} from 'true-myth';
import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {isFinal} from './rollout.js';
import {RolloutOrder} from './rollout_order.js';
import {RolloutOrders} from './rollout_orders.js';
import {
  RolloutAnswer,
  rolloutAnswerSchema,
  RolloutQuestionMessage,
} from './rollout_word.js';
import {RolloutWords} from './rollout_words.js';
import {VersionLedger} from './version_ledger.js';

/** What the client works with. */
export interface RolloutClientOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly orders: RolloutOrders;
  readonly words: RolloutWords;
  readonly ledger: VersionLedger;
  /** Name of this host. */
  readonly host: string;
  /** Answers as holder of the duty, where this host is it. */
  readonly answerHere: (question: RolloutQuestionMessage) => RolloutAnswer;
  /** Finds the host that holds the duty; nothing where it cannot be told. */
  readonly findHolder: () => Promise<string | undefined>;
  readonly requestPeer: (
    host: string,
    body: unknown,
    timeoutMs: number,
  ) => Promise<Result<unknown, Error>>;
}

/** Pause between questions, in milliseconds: word of the holder is fresh for 2 s. */
const ASK_MS = 400;
const ANSWER_MS = 800;
/** Pause between looks for an order while there is none, in milliseconds. */
const IDLE_MS = 1000;
/** Pause between looks for the holder, in milliseconds: each is a call to the table. */
const LOOK_MS = 1000;

/**
 * Tells the holder of the duty what this host counted in each roll-out, and hears from
 * it what to do. Nothing is asked while no roll-out runs.
 */
export class RolloutClient {
  private holder: string | undefined;
  private lookedMs = Number.NEGATIVE_INFINITY;
  /** Orders from whose beginning this host counts. */
  private readonly begun = new Set<number>();

  constructor(private readonly options: RolloutClientOptions) {}

  /** Works until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.step();
      const isIdle = this.options.orders.list().length === 0;
      await this.options.clock.sleep(isIdle ? IDLE_MS : ASK_MS, signal);
    }
  }

  /** Asks once about each roll-out that has not ended. */
  async step(): Promise<void> {
    const {orders, words, ledger} = this.options;
    for (const order of orders.list()) {
      const {service, number} = order;
      if (!this.begun.has(number)) {
        this.begun.add(number);
        ledger.startAnew(service);
      }
      const word = words.get(service, number);
      if (word === undefined || !isFinal(word)) {
        await this.ask(order);
      }
    }
  }

  private async ask({service, number}: RolloutOrder): Promise<void> {
    const {ledger, words, answerHere} = this.options;
    const question: RolloutQuestionMessage = {
      kind: 'rollout',
      service,
      order: number,
      counts: ledger.list(service),
    };
    const own = answerHere(question);
    const answer = own.isHolder ? own : await this.askHolder(question);
    if (answer?.word !== undefined) {
      words.add(answer.word);
    }
  }

  private async askHolder(
    question: RolloutQuestionMessage,
  ): Promise<RolloutAnswer | undefined> {
    const holder = await this.getHolder();
    if (holder === undefined || holder === this.options.host) {
      this.holder = undefined;
      return undefined;
    }
    const {requestPeer} = this.options;
    const reply = await requestPeer(holder, question, ANSWER_MS);
    const answer = rolloutAnswerSchema.safeParse(reply.unwrapOr(undefined));
    if (!answer.success || !answer.data.isHolder) {
      this.holder = undefined;
    }
    return answer.data;
  }

  private async getHolder(): Promise<string | undefined> {
    const {clock, findHolder} = this.options;
    const nowMs = clock.monotonicMs();
    if (this.holder === undefined && nowMs - this.lookedMs >= LOOK_MS) {
      this.lookedMs = nowMs;
      this.holder = await findHolder();
    }
    return this.holder;
  }
}
