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
/** Least for callers, in bytes: a body of 4 MiB before and after it is passed on. */
const MIN_BYTES = 32_000_000;
/** Most for callers, in bytes; no larger machine has been tested. */
const MAX_BYTES = 256_000_000;
const RECEIVING_PART = 0.25;
const KEPT_PART = 0.25;
/** The other half is for what the collector of garbage frees late. */
const CONNECTION_PART = 0.25;

/**
 * Divides the memory of a host.
 * @param memoryBytes - Memory of its machine, in bytes.
 */
export function splitMemory(memoryBytes: number): CallerMemory {
  const leftBytes = memoryBytes - OWN_BYTES;
  const bytes = Math.min(Math.max(leftBytes, MIN_BYTES), MAX_BYTES);
  return {
    receivingBytes: bytes * RECEIVING_PART,
    keptBytes: bytes * KEPT_PART,
    connectionBytes: bytes * CONNECTION_PART,
  };
}
