/** Which changes are requested. */
export interface ChangeQuery {
  /** Version up to which the receiver has all changes. */
  readonly since: number;
  /** Version of the last change. */
  readonly latest: number;
  /** Maximum number of entries to list. */
  readonly maxEntries: number;
}

/** Entries that have changed, and the version up to which the list is complete. */
export interface ChangedEntries<Entry> {
  readonly version: number;
  readonly changed: readonly (readonly [name: string, entry: Entry])[];
}

/**
 * Lists what has changed since a version, the oldest changes first.
 * @param entries - All entries, the least recently changed first.
 * @param query - Which changes to list.
 */
export function listChangedSince<Entry extends {readonly version: number}>(
  entries: ReadonlyMap<string, Entry>,
  {since, latest, maxEntries}: ChangeQuery,
): ChangedEntries<Entry> {
  if (since === latest) {
    // Fast path: nearly every heartbeat has no changes.
    return {version: latest, changed: []};
  }
  const changed: (readonly [string, Entry])[] = [];
  let last = latest;
  for (const [name, entry] of entries) {
    if (entry.version <= since) {
      continue;
    }
    if (changed.length >= maxEntries) {
      return {version: last, changed};
    }
    changed.push([name, entry]);
    last = entry.version;
  }
  return {version: latest, changed};
}
