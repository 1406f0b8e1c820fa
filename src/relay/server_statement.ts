import {StatedBackoff} from '../backoff/index.js';
import {BrittleStatement} from '../brittle/index.js';
import {StatedLimit} from '../limits/index.js';

/** What an answer states about the server that gave it. */
export interface ServerStatement {
  /** Whether the server leaves: it takes no further requests and terminates soon. */
  readonly isLeaving: boolean;
  /** Rate limit of the server; absent if the answer says nothing about one. */
  readonly limit?: StatedLimit;
  /** Time for which the server asks this host for no requests; absent if it does not. */
  readonly backoff?: StatedBackoff;
  /** Rejections that the server bears; absent if it does not state that it is brittle. */
  readonly brittle?: BrittleStatement;
}
