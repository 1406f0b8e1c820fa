/** An operator's order to move a service's requests to servers of another version. */
export interface RolloutOrder {
  readonly service: string;
  /** Version to move to. */
  readonly to: string;
  /** Time within which the rollout is to be done, in milliseconds. */
  readonly durationMs: number;
  /** Identifies the order among those for its service; later ones have higher numbers. */
  readonly number: number;
}
