/** Part of a text: new characters, or a range of the base text as offset and length. */
export type DifferencePart = string | readonly [number, number];

/** Characters that are compared at once. */
const STRIDE = 4096;
/** Ends a piece; in JSON, pieces are then about as long as the innermost objects. */
const SEPARATOR = '}';
/** Most pieces compared; beyond that, memory use and time are no longer small. */
const MAX_PIECES = 50_000;
/** Shortest range worth copying, in characters. */
const MIN_COPY_LENGTH = 24;

/**
 * Describes a text by what it has in common with a base: the common start and end, and
 * in between the pieces that occur in the base.
 */
export function createDifference(base: string, text: string): DifferencePart[] {
  const start = countCommonStart(base, text);
  const end = countCommonEnd(base, text, start);
  const parts = new PartList();
  parts.addCopy(0, start);
  const basePieces = split(base, start, base.length - end);
  const textPieces = split(text, start, text.length - end);
  if (basePieces === undefined || textPieces === undefined) {
    parts.addText(text.slice(start, text.length - end));
  } else {
    addPieces(parts, base, basePieces, textPieces);
  }
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

function countCommonStart(a: string, b: string): number {
  const limit = Math.min(a.length, b.length);
  let count = 0;
  while (
    count + STRIDE <= limit &&
    a.slice(count, count + STRIDE) === b.slice(count, count + STRIDE)
  ) {
    count += STRIDE;
  }
  while (count < limit && a.charCodeAt(count) === b.charCodeAt(count)) {
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

/** A piece of a text and its offset. */
interface Piece {
  readonly offset: number;
  readonly text: string;
}

/** Splits a range after each separator; `undefined` if there are too many pieces. */
function split(text: string, from: number, to: number): Piece[] | undefined {
  const pieces: Piece[] = [];
  let offset = from;
  while (offset < to) {
    if (pieces.length === MAX_PIECES) {
      return undefined;
    }
    const found = text.indexOf(SEPARATOR, offset);
    const end = found < 0 ? to : Math.min(found + 1, to);
    pieces.push({offset, text: text.slice(offset, end)});
    offset = end;
  }
  return pieces;
}

function addPieces(
  parts: PartList,
  base: string,
  basePieces: readonly Piece[],
  textPieces: readonly Piece[],
): void {
  const offsets = new Map(basePieces.map(piece => [piece.text, piece.offset]));
  for (const {text} of textPieces) {
    const next = parts.getNextOffset();
    if (next !== undefined && base.startsWith(text, next)) {
      parts.addCopy(next, text.length);
      continue;
    }
    const offset = offsets.get(text);
    if (offset === undefined || text.length < MIN_COPY_LENGTH) {
      parts.addText(text);
    } else {
      parts.addCopy(offset, text.length);
    }
  }
}

/** Collects parts and joins adjacent ones. */
class PartList {
  readonly list: DifferencePart[] = [];

  /** Returns the offset after the last part; `undefined` if that is not a range. */
  getNextOffset(): number | undefined {
    const last = this.list.at(-1);
    return last === undefined || typeof last === 'string'
      ? undefined
      : last[0] + last[1];
  }

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
