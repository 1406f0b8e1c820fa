import {isMintedKey} from '../journal/index.js';

const KEY_ID_PREFIX = 'key.';

/**
 * Derives the id of a call from its key, so that any host can find the call.
 * @param key - Idempotency-Key of the call, from the caller or generated here.
 */
export function getCallId(key: string): string {
  return isMintedKey(key)
    ? key
    : KEY_ID_PREFIX + Buffer.from(key).toString('base64url');
}

/** Returns the key of a call from its id; the inverse of `getCallId`. */
export function getKeyFromCallId(id: string): string {
  return id.startsWith(KEY_ID_PREFIX)
    ? Buffer.from(id.slice(KEY_ID_PREFIX.length), 'base64url').toString()
    : id;
}
