import {isMintedKey} from '../journal/index.js';

const KEY_ID_PREFIX = 'key.';

/**
 * Makes the id of a call from its key, so that any host can find it.
 * @param key - Idempotency-Key of the call, chosen or minted.
 */
export function getCallId(key: string): string {
  return isMintedKey(key)
    ? key
    : KEY_ID_PREFIX + Buffer.from(key).toString('base64url');
}

/** Finds the key of a call from its id. */
export function getKeyOfCallId(id: string): string {
  return id.startsWith(KEY_ID_PREFIX)
    ? Buffer.from(id.slice(KEY_ID_PREFIX.length), 'base64url').toString()
    : id;
}
