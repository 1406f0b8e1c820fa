import {createHash} from 'node:crypto';

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;

/**
 * Hashes a bearer key as records and settings keep it.
 * @param key - The key.
 * @returns SHA-256 in lower-case hexadecimal.
 */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Reads the bearer key of a request.
 * @param header - Value of the Authorization header.
 * @returns The hash of the key; `undefined` when there is none.
 */
export function getKeyHash(header: string | undefined): string | undefined {
  const match = BEARER.exec(header ?? '');
  return match?.[1] === undefined ? undefined : hashKey(match[1]);
}
