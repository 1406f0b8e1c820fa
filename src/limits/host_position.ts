/**
 * Position of this host among all entry hosts; all hosts that know the same set of hosts
 * derive the same order.
 */
export interface HostPosition {
  /** Number of hosts that may be serving, including this one. */
  readonly hosts: number;
  /** Zero-based position of this host among them. */
  readonly place: number;
}
