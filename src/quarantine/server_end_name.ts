const SEPARATOR = '#';

/**
 * Names the end of one start of a server.
 * @param place - Where the server stands: the same for all of its starts.
 * @param start - Differs for every start.
 */
export function nameServerEnd(place: string, start: string): string {
  return `${place}${SEPARATOR}${start}`;
}

/** Returns where the server of an end stood; all of the name where it tells no place. */
export function getPlace(name: string): string {
  const at = name.indexOf(SEPARATOR);
  return at < 0 ? name : name.slice(0, at);
}
