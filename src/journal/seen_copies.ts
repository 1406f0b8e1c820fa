/** Requests remembered; far more than can be under way at once. */
const MAX_REQUESTS = 50_000;

/**
 * The copies of each request that have come in. A copy that comes again, or
 * after a later one, is old: what it asked for was answered long ago.
 */
export class SeenCopies {
  private readonly last = new Map<string, number>();

  /**
   * Notes a copy.
   * @param instance - The request.
   * @param copy - Number of the copy.
   * @returns Whether it is newer than all copies seen.
   */
  add(instance: string, copy: number): boolean {
    const known = this.last.get(instance);
    if (known !== undefined && copy <= known) {
      return false;
    }
    this.last.delete(instance);
    this.last.set(instance, copy);
    if (this.last.size > MAX_REQUESTS) {
      for (const oldest of this.last.keys()) {
        this.last.delete(oldest);
        break;
      }
    }
    return true;
  }
}
