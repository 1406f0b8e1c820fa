import {SlotRequest} from '../brittle/index.js';
import {rankUrgency} from './rank_urgency.js';
import {RelayOptions} from './relay_options.js';
import {RelayRequest} from './relay_request.js';

/** Parameters of a wait for a slot of a brittle server. */
export interface SlotWaitParams {
  readonly request: RelayRequest;
  readonly service: string;
  /** Whether another host can be asked after the wait. */
  readonly mayForward: boolean;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Share of the spare time that a request waits for a slot of a brittle server at the host
 * that received it. The rest is for another host, which may have a free slot.
 */
const OWN_WAIT_SHARE = 0.5;
/**
 * Factor by which a wait for a slot may last longer than the longest predicted one. A request
 * that is the next for a slot does not leave the queue as its prediction was a little short.
 */
const WAIT_TOLERANCE = 2;

/** Creates a request for a slot, which says for how long it is worth a wait. */
export function createSlotRequest(
  {brittle, clock}: Pick<RelayOptions, 'brittle' | 'clock'>,
  {request, service, mayForward, remainingMs}: SlotWaitParams,
): SlotRequest {
  const waitedMs = clock.monotonicMs() - request.arrivedMs;
  const {streaming, targetMs} = request.route;
  // The first part of a stream arrives long before it leaves its slot.
  const serviceMs = streaming ? 0 : brittle.getHoldMs(service);
  const spareMs = Math.max(0, targetMs - waitedMs - serviceMs);
  const share = mayForward ? OWN_WAIT_SHARE : 1;
  // A slot becomes free within this time, which is worth a wait also after the target:
  // a host that was delayed itself would otherwise refuse all that arrived meanwhile.
  const waitMs = Math.max(serviceMs, spareMs * share);
  const maxWaitMs = Math.min(waitMs, remainingMs);
  const limitMs = maxWaitMs * WAIT_TOLERANCE;
  return {service, rank: rankUrgency(request), maxWaitMs, limitMs};
}
