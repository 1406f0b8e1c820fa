import {Result} from 'true-myth';
import {
  PlainService,
  Reach,
  ServerFailure,
  ServiceAnswer,
  ServiceCall,
} from '../backend/index.js';
import {Clock} from '../time/index.js';

/** How a fake service behaves. */
export interface FakeServiceOptions {
  /** Time one call takes, in milliseconds. */
  readonly serviceMs: number;
  /** Whether a second call under the same key repeats the first answer. */
  readonly deduplicates: boolean;
  /** Whether it can be asked for the answer given under a key. */
  readonly answersLookups: boolean;
}

/** Fake plain service that counts how often each key ran. */
export class FakeService implements PlainService {
  /** Runs by Idempotency-Key. */
  readonly runs = new Map<string, number>();
  private readonly answers = new Map<string, ServiceAnswer>();
  private bookings = 0;

  constructor(
    readonly options: FakeServiceOptions,
    private readonly clock: Clock,
  ) {}

  async send(call: ServiceCall): Promise<Result<ServiceAnswer, ServerFailure>> {
    const key = call.key ?? call.requestId;
    const earlier = this.answers.get(key);
    if (this.options.deduplicates && earlier !== undefined) {
      return Result.ok({...earlier, requestId: call.requestId});
    }
    // The effect comes first: a call cut off while it waits has still run.
    if (call.method !== 'GET') {
      this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
      this.bookings++;
    }
    const answer = this.createAnswer(call, key);
    this.answers.set(key, answer);
    await this.clock.sleep(this.options.serviceMs);
    return Result.ok(answer);
  }

  async getOutcome(
    key: string,
  ): Promise<Result<ServiceAnswer | undefined, ServerFailure>> {
    if (!this.options.answersLookups) {
      return Result.err(new ServerFailure(Reach.SENT, 'no lookups here'));
    }
    return Result.ok(this.answers.get(key));
  }

  private createAnswer(call: ServiceCall, key: string): ServiceAnswer {
    const text = new TextDecoder().decode(call.body);
    const body = JSON.stringify({
      booking: this.bookings,
      key,
      path: call.path,
      echo: text,
    });
    return {
      requestId: call.requestId,
      status: call.method === 'GET' ? 200 : 201,
      contentType: 'application/json',
      body: new TextEncoder().encode(body),
    };
  }
}
