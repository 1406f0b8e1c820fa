import {promisify} from 'node:util';
import {deflate, inflate} from 'node:zlib';

/** Compresses and decompresses contents. */
export interface Compression {
  /** Compresses a content. */
  readonly compress: (content: Uint8Array) => Promise<Uint8Array>;
  /**
   * Decompresses a content.
   * @param content - The compressed content.
   * @param maxBytes - Largest result; a larger one is an error.
   */
  readonly decompress: (
    content: Uint8Array,
    maxBytes: number,
  ) => Promise<Uint8Array>;
}

/**
 * Level of `node:zlib`. The fastest one: configurations are repetitive, and hosts with a
 * third of a core compress every version of a row.
 */
export const COMPRESSION_LEVEL = 1;

const deflateAsync = promisify<Uint8Array, {level: number}, Buffer>(deflate);
const inflateAsync = promisify<Uint8Array, {maxOutputLength: number}, Buffer>(
  inflate,
);

/** Compression by `node:zlib` outside the event loop. */
export const ZLIB_COMPRESSION: Compression = {
  compress: content => deflateAsync(content, {level: COMPRESSION_LEVEL}),
  decompress: (content, maxBytes) =>
    inflateAsync(content, {maxOutputLength: maxBytes}),
};
