/** Defects of a deliberately broken variant; all unset in the product itself. */
export interface CallVariant {
  /** Calls are dispatched before they are recorded. */
  readonly dispatchesBeforeRecording?: boolean;
  /** A lost answer is treated as a call that was not sent. */
  readonly treatsLostAsNotSent?: boolean;
  /** The answer to another key is returned. */
  readonly returnsOtherAnswers?: boolean;
  /** Books are handed over without their entries. */
  readonly dropsEntries?: boolean;
  /** A planned shutdown terminates the process at once. */
  readonly terminatesAtOnce?: boolean;
}
