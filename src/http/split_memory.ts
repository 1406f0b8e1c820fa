/** Most bytes of memory that a host spends on what callers send. */
export interface CallerMemory {
  /** Bytes of bodies that are not passed on. */
  readonly receivingBytes: number;
  /** Bytes of bodies that were passed on. */
  readonly keptBytes: number;
  /** Bytes of connections, and of the heads of their requests. */
  readonly connectionBytes: number;
}

/** Memory that a host needs for itself, in bytes; see docs/CAPACITY.md. */
const OWN_BYTES = 128_000_000;
/** Part of the rest for callers: garbage takes memory as well until it is collected. */
const CALLERS_PART = 0.75;
/** Least for callers, in bytes: two bodies of 4 MiB in each third, or nearly. */
const MIN_BYTES = 24_000_000;
/** Most for callers, in bytes: more has not been tested. */
const MAX_BYTES = 256_000_000;
const PARTS = 3;

/**
 * Divides the memory of a host.
 * @param memoryBytes - Memory of its machine, in bytes.
 */
export function splitMemory(memoryBytes: number): CallerMemory {
  const leftBytes = (memoryBytes - OWN_BYTES) * CALLERS_PART;
  const bytes = Math.min(Math.max(leftBytes, MIN_BYTES), MAX_BYTES);
  const part = Math.floor(bytes / PARTS);
  return {receivingBytes: part, keptBytes: part, connectionBytes: part};
}
