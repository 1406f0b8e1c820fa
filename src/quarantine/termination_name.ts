const SEPARATOR = '#';

/**
 * Returns the name of the termination of one server incarnation.
 * @param address - Address of the server; the same for all its incarnations.
 * @param incarnation - Differs for each incarnation.
 */
export function nameTermination(address: string, incarnation: string): string {
  return `${address}${SEPARATOR}${incarnation}`;
}

/** Returns the address of the terminated server; the whole name if it contains none. */
export function getTerminationAddress(name: string): string {
  const at = name.indexOf(SEPARATOR);
  return at < 0 ? name : name.slice(0, at);
}
