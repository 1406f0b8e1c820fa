/** An operator's order to move a service's requests to servers of another version. */
export interface RolloutOrder {
  readonly service: string;
  /** Version to move to. */
  readonly to: string;
  /** Time in which it is to be done, in milliseconds. */
  readonly durationMs: number;
  /** Tells orders for a service apart; a later one has a higher number. */
  readonly number: number;
}
