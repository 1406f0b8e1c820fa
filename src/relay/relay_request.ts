import {Account, Route} from '../catalog/index.js';
import {PromptPart} from '../fleet/index.js';

/** A header as it was received: name and value. */
export type RawHeader = readonly [name: string, value: string];

/** Description of a prompt, from the headers of its request. */
export interface Prompt {
  /** Parts in order; requests may have leading parts in common. */
  readonly parts: readonly PromptPart[];
  readonly tokensIn: number;
  /** Largest number of tokens that the answer may have. */
  readonly tokensOut: number;
}

/** A request to be served by a server of its route, as a caller sent it once. */
export interface RelayRequest {
  /** Id that the caller gave to the request, different each time it is sent. */
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Headers to pass on, in order. */
  readonly headers: readonly RawHeader[];
  readonly body: Uint8Array;
  readonly route: Route;
  /** Account of the customer; absent on routes that need no key. */
  readonly account?: Account;
  /** Has no parts and zero tokens if the request has no prompt. */
  readonly prompt: Prompt;
  /** Estimated time of arrival, in monotonic milliseconds. */
  readonly arrivedMs: number;
  /** Earlier of the deadlines of the caller and the route, in monotonic milliseconds. */
  readonly deadlineMs: number;
  /** Called immediately before the first byte is sent to a server, at each attempt. */
  readonly onSend?: () => void;
  /** Host that received the request from its caller, if it forwarded it to this one. */
  readonly forwardedBy?: string;
  /** Id of the last event that the caller already has of a stream. */
  readonly lastEventId?: string;
  /** Id of the request that brought the first event of that stream, as the caller names it. */
  readonly startedBy?: string;
}
