import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';

/** Newest version of the peer protocol that this release speaks. */
export const PROTOCOL_VERSION = 1;
/** Oldest version that it still speaks. */
export const OLDEST_PROTOCOL_VERSION = 1;

const NONCE_BYTES = 16;
const MAC_BYTES = 32;
const MAX_NAME = 128;

/** First frame of each side. */
export const greetingSchema = z.object({
  kind: z.literal('greeting'),
  version: z.number().int(),
  oldestVersion: z.number().int(),
  host: z.string().min(1).max(MAX_NAME),
  dataCentre: z.string().min(1).max(MAX_NAME),
  incarnation: z.string().min(1).max(MAX_NAME),
  nonce: z.instanceof(Uint8Array).refine(bytes => bytes.length === NONCE_BYTES),
});

/** First frame of each side. */
export type Greeting = z.output<typeof greetingSchema>;

/** Second frame of each side: shows that it knows the shared key. */
export const proofSchema = z.object({
  kind: z.literal('proof'),
  mac: z.instanceof(Uint8Array).refine(bytes => bytes.length === MAC_BYTES),
});

/** Who a peer has shown itself to be. */
export interface PeerIdentity {
  readonly host: string;
  readonly dataCentre: string;
  /** Differs for every start of the process on that host. */
  readonly incarnation: string;
}

/** Makes a greeting with a fresh nonce. */
export function createGreeting(self: PeerIdentity): Greeting {
  return {
    kind: 'greeting',
    version: PROTOCOL_VERSION,
    oldestVersion: OLDEST_PROTOCOL_VERSION,
    host: self.host,
    dataCentre: self.dataCentre,
    incarnation: self.incarnation,
    nonce: randomBytes(NONCE_BYTES),
  };
}

/**
 * Computes a side's proof: an HMAC over both greetings, its own first.
 * @param key - Shared key of all peers.
 * @param own - Greeting of the side that proves itself.
 * @param other - Greeting of the other side.
 */
export function computeProof(
  key: string,
  own: Greeting,
  other: Greeting,
): Uint8Array {
  const mac = createHmac('sha256', key);
  for (const greeting of [own, other]) {
    mac.update(greeting.nonce);
    mac.update(`${greeting.host}\n${greeting.dataCentre}\n`);
    mac.update(`${greeting.incarnation}\n${greeting.version}\n`);
  }
  return mac.digest();
}

/** Compares two proofs in constant time. */
export function isSameProof(a: Uint8Array, b: Uint8Array): boolean {
  return a.length === b.length && timingSafeEqual(a, b);
}

/** Tells whether two releases have a protocol version in common. */
export function isCompatible(greeting: Greeting): boolean {
  return (
    greeting.version >= OLDEST_PROTOCOL_VERSION &&
    greeting.oldestVersion <= PROTOCOL_VERSION
  );
}
