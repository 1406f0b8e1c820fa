/** Times that a server is predicted to need for one kind of request. */
export interface ServerTimes {
  /**
   * Time that does not depend on the prompt, at the current occupancy, in milliseconds;
   * at a plain service, the time of the whole request.
   */
  readonly fixedMs: number;
  /** Time per uncached token of the request's own prompt, in milliseconds. */
  readonly ownTokenMs: number;
  /** Time per pending prompt token ahead of the request, in milliseconds. */
  readonly aheadTokenMs: number;
  /**
   * Share of the predicted time by which recent answers of the server were late: more than
   * 0 in a slow period.
   */
  readonly lateShare: number;
  /** Time by which the oldest request without an answer is late, in milliseconds. */
  readonly waitingMs: number;
}

/** Kind of a request, as far as its time to the first byte depends on it. */
export interface RequestKind {
  readonly route: string;
  /**
   * Whether the answer is streamed by an engine, so that its first byte follows the
   * prefill; otherwise the first byte follows the whole processing.
   */
  readonly hasPrefill: boolean;
}

/** What is known about a request when it is sent; its time is learned from this. */
export interface RequestFeatures {
  readonly kind: RequestKind;
  readonly ownTokens: number;
  /** Pending prompt tokens ahead of the request. */
  readonly aheadTokens: number;
  /** Requests at the server, as a share of its slots. */
  readonly occupancy: number;
  /** Part of `expectedMs` for waiting for a slot, in milliseconds. */
  readonly slotWaitMs: number;
  /** Part of `expectedMs` for the network distance, in milliseconds. */
  readonly hopMs: number;
  /** Predicted time without the lateness observed at that time, in milliseconds. */
  readonly expectedMs: number;
}
