import {KeptConnection} from '../platform/fakes/kept_connection.js';
import {parseAnswers, ParsedAnswer} from './parse_answers.js';
import {SentRequest} from './history.js';

const POLL_MS = 5;
/** Pause before another connection, in milliseconds. */
const RECONNECT_MS = 30;

/** Dependencies of a `PairCaller`. */
export interface PairCallerOptions {
  /** Returns the address of the host to which a new connection is opened. */
  readonly chooseAddress: () => string;
  /** Headers of each request, beside its id. */
  readonly headers: Readonly<Record<string, string>>;
  /** Creates the record of a request that is sent now. */
  readonly record: (body: string) => SentRequest;
  readonly getNowMs: () => number;
  readonly isStopped: () => boolean;
  readonly path: string;
}

/**
 * Sends two requests at once on a kept connection, and the next two as soon as both are answered,
 * as HTTP/1.1 allows: the second one is read before the first is answered.
 */
export class PairCaller {
  constructor(private readonly options: PairCallerOptions) {}

  /** Sends pairs until stopped; opens another connection whenever one ends. */
  async run(): Promise<void> {
    while (!this.options.isStopped()) {
      await this.useConnection();
      await pause(RECONNECT_MS);
    }
  }

  private async useConnection(): Promise<void> {
    const {chooseAddress, headers, isStopped} = this.options;
    const connection = new KeptConnection(chooseAddress(), headers);
    let canReuse = true;
    while (canReuse && !isStopped()) {
      canReuse = await this.sendPair(connection);
    }
    connection.close();
  }

  /** Sends a pair and records its answers; returns whether the connection can be reused. */
  private async sendPair(connection: KeptConnection): Promise<boolean> {
    const {getNowMs, path, record} = this.options;
    connection.received = '';
    const pair = [record('xy'), record('xy')];
    connection.send(path, ...pair.map(({id}) => id));
    const untilMs = getNowMs() + Math.max(...pair.map(({limitMs}) => limitMs));
    let answers: ParsedAnswer[] = [];
    while (answers.length < pair.length && getNowMs() < untilMs) {
      await pause(POLL_MS);
      const hasEnded = connection.isEnded || connection.socket.destroyed;
      answers = parseAnswers(connection.received);
      if (hasEnded || answers.some(({closes}) => closes)) {
        break;
      }
    }
    for (const [index, sent] of pair.entries()) {
      sent.endMs = getNowMs();
      Object.assign(sent, answers[index]?.fields);
    }
    return (
      answers.length === pair.length &&
      !connection.isEnded &&
      answers.every(({closes}) => !closes)
    );
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
