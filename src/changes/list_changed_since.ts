/** Which changes are asked for. */
export interface ChangeQuestion {
  /** Version up to which the receiver knows all. */
  readonly since: number;
  /** Version of the last change. */
  readonly latest: number;
  /** Entries to list, at most. */
  readonly most: number;
}

/** Entries that have changed, and the version up to which these are all. */
export interface ChangedEntries<Entry> {
  readonly version: number;
  readonly changed: readonly (readonly [name: string, entry: Entry])[];
}

/**
 * Lists what has changed since a version, the oldest changes first.
 * @param entries - All entries, the least recently changed first.
 * @param question - Which changes.
 */
export function listChangedSince<Entry extends {readonly version: number}>(
  entries: ReadonlyMap<string, Entry>,
  {since, latest, most}: ChangeQuestion,
): ChangedEntries<Entry> {
  if (since === latest) {
    // So it is with nearly every heartbeat.
    return {version: latest, changed: []};
  }
  const changed: (readonly [string, Entry])[] = [];
  let last = latest;
  for (const [name, entry] of entries) {
    if (entry.version <= since) {
      continue;
    }
    if (changed.length >= most) {
      return {version: last, changed};
    }
    changed.push([name, entry]);
    last = entry.version;
  }
  return {version: latest, changed};
}
