/** Part of a text: new characters, or a range of the base text as offset and length. */
export type DifferencePart = string | readonly [number, number];

/** Characters that are compared at once. */
const STRIDE = 4096;
/** Place after which a common range may begin again; in JSON, the end of an object. */
const SEPARATOR = '}';
/**
 * Length of the text that must be the same for a range to count as common again. Shorter
 * ones occur in many objects of the same kind.
 */
const ANCHOR_LENGTH = 64;
/** How far ahead in the base a common range is searched, in characters. */
const SEARCH_LENGTH = 262_144;
/**
 * Most searches in all. Texts that need more have little in common, and the searches
 * block the event loop.
 */
const MAX_SEARCHES = 1000;

/**
 * Describes a text by the ranges that it has in common with a base, in the same order.
 * Texts that differ in few places give short descriptions.
 */
export function createDifference(base: string, text: string): DifferencePart[] {
  const start = countCommonStart(base, 0, text, 0);
  const end = countCommonEnd(base, text, start);
  const parts = new PartList();
  parts.addCopy(0, start);
  const search = new RangeSearch(base, text, base.length - end);
  const textEnd = text.length - end;
  let position: RangePosition = {base: start, text: start};
  while (position.text < textEnd) {
    const next = search.findNext(position);
    if (next === undefined || next.text >= textEnd) {
      break;
    }
    parts.addText(text.slice(position.text, next.text));
    const length = Math.min(
      countCommonStart(base, next.base, text, next.text),
      textEnd - next.text,
    );
    parts.addCopy(next.base, length);
    position = {base: next.base + length, text: next.text + length};
  }
  parts.addText(text.slice(position.text, textEnd));
  parts.addCopy(base.length - end, end);
  return parts.list;
}

/**
 * Applies a difference.
 * @returns The text, or `undefined` if a part is not a range of the base or the text
 *   would be longer than the maximum.
 */
export function applyDifference(
  base: string,
  parts: readonly DifferencePart[],
  maxLength: number,
): string | undefined {
  const pieces: string[] = [];
  let length = 0;
  for (const part of parts) {
    const piece = typeof part === 'string' ? part : copy(base, part);
    length += piece?.length ?? 0;
    if (piece === undefined || length > maxLength) {
      return undefined;
    }
    pieces.push(piece);
  }
  return pieces.join('');
}

function copy(
  base: string,
  [offset, length]: readonly [number, number],
): string | undefined {
  return offset + length > base.length
    ? undefined
    : base.slice(offset, offset + length);
}

/** Offsets in both texts. */
interface RangePosition {
  readonly base: number;
  readonly text: number;
}

/** Finds where the next range begins that two texts have in common. */
class RangeSearch {
  private searches = 0;

  /**
   * @param base - Base of the difference.
   * @param text - The text.
   * @param baseEnd - Offset in the base at which the search ends.
   */
  constructor(
    private readonly base: string,
    private readonly text: string,
    private readonly baseEnd: number,
  ) {}

  /** Returns the next common range; `undefined` if none was found. */
  findNext(from: RangePosition): RangePosition | undefined {
    const {base, text} = this;
    const end = Math.min(from.base + SEARCH_LENGTH, this.baseEnd);
    const searched = base.slice(from.base, end);
    let offset = from.text;
    while (offset + ANCHOR_LENGTH <= text.length) {
      if (++this.searches > MAX_SEARCHES) {
        return undefined;
      }
      const anchor = text.slice(offset, offset + ANCHOR_LENGTH);
      const found = searched.indexOf(anchor);
      if (found >= 0) {
        return {base: from.base + found, text: offset};
      }
      const separator = text.indexOf(SEPARATOR, offset);
      if (separator < 0) {
        return undefined;
      }
      offset = separator + 1;
    }
    return undefined;
  }
}

function countCommonStart(
  a: string,
  aStart: number,
  b: string,
  bStart: number,
): number {
  const limit = Math.min(a.length - aStart, b.length - bStart);
  let count = 0;
  while (
    count + STRIDE <= limit &&
    a.slice(aStart + count, aStart + count + STRIDE) ===
      b.slice(bStart + count, bStart + count + STRIDE)
  ) {
    count += STRIDE;
  }
  while (
    count < limit &&
    a.charCodeAt(aStart + count) === b.charCodeAt(bStart + count)
  ) {
    count++;
  }
  return count;
}

function countCommonEnd(a: string, b: string, start: number): number {
  const limit = Math.min(a.length, b.length) - start;
  const getEnd = (text: string, from: number, to: number) =>
    text.slice(text.length - to, text.length - from);
  let count = 0;
  while (
    count + STRIDE <= limit &&
    getEnd(a, count, count + STRIDE) === getEnd(b, count, count + STRIDE)
  ) {
    count += STRIDE;
  }
  while (
    count < limit &&
    a.charCodeAt(a.length - 1 - count) === b.charCodeAt(b.length - 1 - count)
  ) {
    count++;
  }
  return count;
}

/** Collects parts and joins adjacent ones. */
class PartList {
  readonly list: DifferencePart[] = [];

  addCopy(offset: number, length: number): void {
    const last = this.list.at(-1);
    if (length === 0) {
      return;
    }
    if (typeof last === 'object' && last[0] + last[1] === offset) {
      this.list[this.list.length - 1] = [last[0], last[1] + length];
      return;
    }
    this.list.push([offset, length]);
  }

  addText(text: string): void {
    const last = this.list.at(-1);
    if (text === '') {
      return;
    }
    if (typeof last === 'string') {
      this.list[this.list.length - 1] = last + text;
      return;
    }
    this.list.push(text);
  }
}
