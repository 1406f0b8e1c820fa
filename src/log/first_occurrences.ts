/** Maximum number of keys that are remembered; further ones are not logged. */
const MAX_KEYS = 1000;

/** Remembers which keys have occurred, to log each of them once. */
export class FirstOccurrences {
  private readonly keys = new Set<string>();

  /** Returns whether a key is to be logged: it has not occurred before. */
  add(key: string): boolean {
    if (this.keys.has(key) || this.keys.size >= MAX_KEYS) {
      return false;
    }
    this.keys.add(key);
    return true;
  }
}
