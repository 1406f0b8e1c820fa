const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Hashes text to an unsigned 32-bit number (FNV-1a with a final mix).
 * Stable across hosts and releases: slot numbers and peer choices depend on it.
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
 * Returns the name that `rankByRendezvous` puts first, without ordering the others.
 * @param key - What is being placed.
 * @param names - Candidates.
 */
export function findByRendezvous(
  key: string,
  names: Iterable<string>,
): string | undefined {
  let first: string | undefined;
  let most = -1;
  for (const name of names) {
    const hash = hashText(`${key}|${name}`);
    const isFirst = hash > most || (hash === most && name < (first ?? ''));
    if (isFirst) {
      first = name;
      most = hash;
    }
  }
  return first;
}

/**
 * Orders names by rendezvous hash: every host computes the same order, and a
 * name that comes or goes moves only its own share.
 * @param key - What is being placed.
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
