/** Which of all entry hosts this one is, as all that know the same hosts agree. */
export interface Turn {
  /** Hosts that may be serving, this one included. */
  readonly hosts: number;
  /** Place of this host among them, from 0. */
  readonly place: number;
}
