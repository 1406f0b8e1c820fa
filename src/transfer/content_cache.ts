/** Contents kept, and their total size; the one made last is always kept. */
const MAX_CONTENTS = 16;
const MAX_TOTAL_BYTES = 8_388_608;

/**
 * Encoded texts by id. Each is made once and read by every receiver; the least recently
 * read ones are dropped.
 */
export class ContentCache {
  private readonly contents = new Map<
    string,
    Promise<Uint8Array | undefined>
  >();
  private readonly sizes = new Map<string, number>();

  /** Returns a content, made by the function if it is not kept. */
  async getOrMake(
    id: string,
    make: () => Promise<Uint8Array | undefined>,
  ): Promise<Uint8Array | undefined> {
    const known = this.contents.get(id);
    if (known !== undefined) {
      this.keep(id, known);
      return known;
    }
    const made = make();
    this.keep(id, made);
    try {
      this.sizes.set(id, (await made)?.length ?? 0);
    } catch (error) {
      this.drop(id);
      throw error;
    }
    this.trim(id);
    return made;
  }

  /** Returns a content; `undefined` if it is not kept. */
  async get(id: string): Promise<Uint8Array | undefined> {
    const known = this.contents.get(id);
    if (known !== undefined) {
      this.keep(id, known);
    }
    return known;
  }

  /** Makes a content the most recently read one. */
  private keep(id: string, content: Promise<Uint8Array | undefined>): void {
    this.contents.delete(id);
    this.contents.set(id, content);
  }

  private drop(id: string): void {
    this.contents.delete(id);
    this.sizes.delete(id);
  }

  private trim(latest: string): void {
    const sum = () => [...this.sizes.values()].reduce((a, b) => a + b, 0);
    for (const id of [...this.contents.keys()]) {
      if (this.contents.size <= MAX_CONTENTS && sum() <= MAX_TOTAL_BYTES) {
        return;
      }
      if (id !== latest) {
        this.drop(id);
      }
    }
  }
}
