import {z} from 'zod';
import {Compression} from './compression.js';
import {MAX_TEXT_BYTES} from './limits.js';
import {hashLongText} from './retained_texts.js';
import {applyDifference, createDifference} from './text_difference.js';

/** Largest share of the text that a difference may state anew; else the text is whole. */
const MAX_NEW_SHARE = 0.5;

const offset = z.number().int().min(0);
const differenceSchema = z.array(
  z.union([z.string(), z.tuple([offset, offset])]),
);

/** Encodes a text as a whole. */
export function encodeWhole(
  compression: Compression,
  text: string,
): Promise<Uint8Array> {
  return compression.compress(Buffer.from(text));
}

/**
 * Encodes a text as a difference.
 * @returns The content; `undefined` if the texts have too little in common.
 */
export async function encodeDifference(
  compression: Compression,
  base: string,
  text: string,
): Promise<Uint8Array | undefined> {
  const parts = createDifference(base, text);
  const json = JSON.stringify(parts);
  return json.length > text.length * MAX_NEW_SHARE
    ? undefined
    : compression.compress(Buffer.from(json));
}

/**
 * Decodes a text.
 * @param content - The encoded text.
 * @param hash - Hash of the text.
 * @param base - Base of a difference; `undefined` for a whole text.
 * @returns The text; `undefined` if the content is invalid, too large or does not give
 *   a text with this hash.
 */
export async function decodeText(
  compression: Compression,
  content: Uint8Array,
  hash: string,
  base?: string,
): Promise<string | undefined> {
  try {
    const bytes = await compression.decompress(content, MAX_TEXT_BYTES);
    const decoded = new TextDecoder('utf-8', {
      fatal: true,
      ignoreBOM: true,
    }).decode(bytes);
    const text =
      base === undefined
        ? decoded
        : applyDifference(
            base,
            differenceSchema.parse(JSON.parse(decoded)),
            MAX_TEXT_BYTES,
          );
    return text !== undefined && hashLongText(text) === hash ? text : undefined;
  } catch {
    return undefined;
  }
}
