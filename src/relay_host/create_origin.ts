import {ResolutionContext} from 'inversify';
import {INCARNATION, SELF} from './identifiers.js';

/** Names this start of the process, as it signs leases and counts. */
export function createOrigin(context: ResolutionContext): string {
  return `${context.get(SELF).host}/${context.get(INCARNATION)}`;
}
