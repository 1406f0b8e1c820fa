/** How a variant differs from the product; all false in the product itself. */
export interface CallVariant {
  /** Calls are dispatched before they are recorded. */
  readonly dispatchesFirst?: boolean;
  /** A lost answer is taken for a call that was not sent. */
  readonly trustsSilence?: boolean;
  /** Answers of another key are passed on. */
  readonly crossesAnswers?: boolean;
  /** Books are handed over without their entries. */
  readonly dropsEntries?: boolean;
  /** A planned stop ends the process at once. */
  readonly stopsAtOnce?: boolean;
}
