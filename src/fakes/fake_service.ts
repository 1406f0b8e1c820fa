import {Result} from 'true-myth';
import {
  PlainService,
  DeliveryState,
  ServerFailure,
  ServiceAnswer,
  ServiceCall,
} from '../backend/index.js';
import {Clock} from '../time/index.js';

/** Behaviour of a fake service. */
export interface FakeServiceOptions {
  /** Duration of a call, in milliseconds. */
  readonly serviceMs: number;
  /** Whether a repeated call with the same key returns the first answer without running again. */
  readonly deduplicates: boolean;
  /** Whether the answer to a key can be looked up. */
  readonly answersLookups: boolean;
}

/** Fake plain service that counts how often the call of each key ran. */
export class FakeService implements PlainService {
  /** Number of runs by Idempotency-Key, or by request id for calls without a key. */
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
    // The effect precedes the delay, so a call that is interrupted during it has still run.
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
      return Result.err(
        new ServerFailure(
          DeliveryState.SENT,
          'this service does not support lookups of outcomes',
        ),
      );
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
