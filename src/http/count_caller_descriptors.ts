/** Descriptors for files, and for listeners and what the runtime opens. */
const RESERVED_DESCRIPTORS = 200;
/** Part of the rest for callers; servers, the store, other hosts and operators have the other. */
const CALLERS_PART = 0.5;
/** Descriptors of a process where nothing is stated: the usual soft limit. */
const DEFAULT_DESCRIPTORS = 1024;

/**
 * Returns how many connections callers may hold open.
 * @param descriptors - Descriptors that the process may open; by default, 1,024.
 */
export function countCallerDescriptors(
  descriptors = DEFAULT_DESCRIPTORS,
): number {
  const free = Math.max(descriptors - RESERVED_DESCRIPTORS, 0);
  return Math.floor(free * CALLERS_PART);
}
