import {decideByWait} from '../admission/index.js';
import {Problem} from '../errors/index.js';
import {PlaceRequest} from './place_admission.js';
import {RelayOptions} from './relay_options.js';

/**
 * Decides whether a new stream is sent. One whose predicted wait exceeds the first-token target
 * must not be: its caller would give up, and it would delay other requests.
 * @returns The reason to refuse it; `undefined` to send it.
 */
export function decideByPlace(
  {placeAdmission, random}: Pick<RelayOptions, 'placeAdmission' | 'random'>,
  place: PlaceRequest,
): Problem | undefined {
  const {request, waitMs} = place;
  return placeAdmission?.isEnabled() === true
    ? placeAdmission.decide(place)
    : decideByWait(waitMs, request.route.targetMs, random);
}
