import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {isFinal} from './rollout.js';
import {RolloutDirective} from './rollout_messages.js';

/** A directive and the time at which it was received. */
interface ReceivedDirective {
  readonly directive: RolloutDirective;
  readonly receivedMs: number;
}

/**
 * Age above which a directive of a running rollout has expired, in milliseconds. A host
 * without a recent directive sends nothing to the new version, so that hosts need not be
 * informed of a holder that has terminated.
 */
const MAX_AGE_MS = 2000;

/** The last directive that this host received for the rollout of each service. */
export class RolloutDirectives {
  private readonly lastByService = new Map<string, ReceivedDirective>();

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /**
   * Adds a directive. Directives of an earlier order or holder are ignored, and so are
   * those for an order that has already ended.
   */
  add(directive: RolloutDirective): void {
    const known = this.lastByService.get(directive.service)?.directive;
    if (known !== undefined && !supersedes(directive, known)) {
      return;
    }
    if (known?.share !== directive.share || known.state !== directive.state) {
      const {service, from, to, state, share, fence} = directive;
      this.log.info('rollout_word', {service, from, to, state, share, fence});
    }
    const receivedMs = this.clock.monotonicMs();
    this.lastByService.set(directive.service, {directive, receivedMs});
  }

  /** Returns the last directive of an order, whatever its age. */
  get(service: string, order: number): RolloutDirective | undefined {
    const directive = this.lastByService.get(service)?.directive;
    return directive?.order === order ? directive : undefined;
  }

  /** Returns whether the last directive for a service has not expired. */
  isFresh(service: string): boolean {
    const receivedMs =
      this.lastByService.get(service)?.receivedMs ?? Number.NEGATIVE_INFINITY;
    return this.clock.monotonicMs() - receivedMs <= MAX_AGE_MS;
  }
}

function supersedes(
  directive: RolloutDirective,
  known: RolloutDirective,
): boolean {
  if (directive.order !== known.order) {
    return directive.order > known.order;
  }
  return !isFinal(known) && directive.fence >= known.fence;
}
