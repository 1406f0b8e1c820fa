import {createHmac, timingSafeEqual} from 'node:crypto';

/** Header with the proof that a forwarded request comes from a peer. */
export const PROOF_HEADER = 'sedgefall-proof';

/**
 * Computes the proof of a forwarded request: an HMAC-SHA-256 over its head.
 * @param key - Key shared by all peers.
 * @param head - The encoded head.
 */
export function computeForwardProof(key: string, head: Uint8Array): string {
  return createHmac('sha256', key).update(head).digest('hex');
}

/** Returns whether a proof is valid, in constant time. */
export function isValidProof(
  key: string,
  head: Uint8Array,
  proof: string,
): boolean {
  const expected = Buffer.from(computeForwardProof(key, head));
  const actual = Buffer.from(proof);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}
