const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes text to an unsigned 32-bit number (FNV-1a, then the MurmurHash3 finalizer).
 * The result must be the same on all hosts and in all releases: slot numbers and the
 * choice of peers depend on it.
 * @param text - Text to hash.
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/**
 * Returns the name that `rankByRendezvous` ranks first, without sorting the others.
 * @param key - Key to assign.
 * @param names - Candidates.
 * @returns The name, or `undefined` if there are no candidates.
 */
export function findByRendezvous(
  key: string,
  names: Iterable<string>,
): string | undefined {
  let first: string | undefined;
  let highestHash = -1;
  for (const name of names) {
    const hash = hashText(`${key}|${name}`);
    const isFirst =
      hash > highestHash || (hash === highestHash && name < (first ?? ''));
    if (isFirst) {
      first = name;
      highestHash = hash;
    }
  }
  return first;
}

/**
 * Sorts names by rendezvous hash (highest random weight). Every host computes the
 * same order, and adding or removing a name reassigns only the keys of that name.
 * @param key - Key to assign.
 * @param names - Candidates.
 */
export function rankByRendezvous(
  key: string,
  names: readonly string[],
): string[] {
  const ranked = names.map(name => ({name, hash: hashText(`${key}|${name}`)}));
  ranked.sort((a, b) => b.hash - a.hash || (a.name < b.name ? -1 : 1));
  return ranked.map(entry => entry.name);
}
