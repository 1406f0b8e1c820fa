/**
 * Returns the key with which peers authenticate. The platform gives its processes no
 * secret, so the key tells peers from stray connections, but does not keep out anybody who
 * has read the source.
 */
export function createPeerKey(): string {
  return 'sedgefall-relay-host';
}
