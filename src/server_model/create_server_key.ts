const OFFSET_BASIS = 2_166_136_261;
const PRIME = 16_777_619;
const RADIX = 36;

/**
 * Returns a short key of a server: the FNV-1a hash of its id, in base 36. In messages, it
 * takes 8 bytes in place of the 20 of an id. Of 1,800 servers, two have the same key with
 * a probability of 0.0004; their times would be averaged.
 */
export function createServerKey(id: string): string {
  let hash = OFFSET_BASIS;
  for (let index = 0; index < id.length; index++) {
    hash = Math.imul(hash ^ id.charCodeAt(index), PRIME);
  }
  return (hash >>> 0).toString(RADIX);
}
