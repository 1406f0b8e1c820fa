import {SlotRequest} from '../brittle/index.js';
import {Problem, problems} from '../errors/index.js';
import {RelayOptions} from './relay_options.js';

/**
 * Largest random addition to the retry delay after a refusal because of the servers' rate
 * limits or backoffs, as a share of that delay, so that refused callers do not all retry at
 * once.
 */
const RETRY_JITTER = 0.3;
/**
 * Shortest retry delay after a refusal for lack of capacity, in seconds. A random
 * addition at most doubles it.
 */
const NO_CAPACITY_RETRY_S = 0.25;
/**
 * Retry delay of a stream that no server of its version can go on with, in milliseconds. One
 * that has crashed is back after some seconds.
 */
const VERSION_RETRY_MS = 1000;
const MS_PER_SECOND = 1000;

/** Problems with which the requests of one service are refused, and when to retry. */
export class Refusals {
  constructor(
    private readonly options: Pick<
      RelayOptions,
      'backoffs' | 'brittle' | 'limits' | 'random'
    >,
    private readonly service: string,
  ) {}

  /** No server has capacity for the request. */
  createNoRoom(): Problem {
    return problems.noRoom(this.service, this.drawCapacityDelayS());
  }

  /** This host reaches no server of the service. */
  createUnreachable(): Problem {
    return problems.serversUnreachable(this.service, this.drawCapacityDelayS());
  }

  /** No slot of a brittle server becomes free in time; counts the request as refused. */
  createBrittle(request: SlotRequest): Problem {
    const retryMs = this.options.brittle.addRefused(request);
    return problems.serviceBrittle(this.service, this.toRetryS(retryMs));
  }

  /**
   * The permits of all servers are used up; counts the request as refused.
   * @param withheld - Ids of these servers.
   */
  createLimited(withheld: readonly string[]): Problem {
    const retryMs = this.options.limits.addRefused(this.service, withheld);
    return problems.serviceLimited(this.service, this.toRetryS(retryMs));
  }

  /**
   * All servers have asked for a time without requests.
   * @param servers - Their ids.
   */
  createBackingOff(servers: readonly string[]): Problem {
    const {backoffs} = this.options;
    const remainingMs = servers.map(id => backoffs.getRemainingMs(id));
    const retryMs = Math.max(
      NO_CAPACITY_RETRY_S * MS_PER_SECOND,
      Math.min(...remainingMs),
    );
    return problems.serviceBackingOff(this.service, this.toRetryS(retryMs));
  }

  /** No server of the version at which a stream began takes requests. */
  createVersionUnavailable(): Problem {
    const retryS = this.toRetryS(VERSION_RETRY_MS);
    return problems.streamVersionUnavailable(this.service, retryS);
  }

  private drawCapacityDelayS(): number {
    return NO_CAPACITY_RETRY_S * (1 + this.options.random.next());
  }

  /** Converts a time until servers take requests to a retry delay with jitter, in seconds. */
  private toRetryS(ms: number): number {
    const jitter = RETRY_JITTER * this.options.random.next();
    return (ms * (1 + jitter)) / MS_PER_SECOND;
  }
}
