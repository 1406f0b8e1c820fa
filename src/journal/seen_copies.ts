/** Number of requests remembered; far more than can be in flight at once. */
const MAX_REQUESTS = 50_000;

/**
 * The latest copy received of each request. A copy that arrives again or after a
 * later one is outdated: its request was answered long before.
 */
export class SeenCopies {
  private readonly last = new Map<string, number>();

  /**
   * Records the arrival of a copy.
   * @param instance - The request.
   * @param copy - Number of the copy.
   * @returns Whether it is newer than all copies received before.
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
