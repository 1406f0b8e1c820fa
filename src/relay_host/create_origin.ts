import {ResolutionContext} from 'inversify';
import {INCARNATION, SELF} from './identifiers.js';

/**
 * Returns the name of this incarnation of the process, which identifies its leases and
 * counts.
 */
export function createOrigin(context: ResolutionContext): string {
  return `${context.get(SELF).host}/${context.get(INCARNATION)}`;
}
