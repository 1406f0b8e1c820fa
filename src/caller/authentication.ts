import {createHash} from 'node:crypto';

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/;

/**
 * Hashes a bearer key, as stored in customer records and settings.
 * @param key - The key.
 * @returns SHA-256 in lower-case hexadecimal.
 */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Returns the hash of the bearer key of a request.
 * @param header - Value of the Authorization header.
 * @returns The hash, or `undefined` if the header has no valid bearer key.
 */
export function getKeyHash(header: string | undefined): string | undefined {
  const match = BEARER_PATTERN.exec(header ?? '');
  return match?.[1] === undefined ? undefined : hashKey(match[1]);
}
