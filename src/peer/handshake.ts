import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';

/** Newest version of the peer protocol that this release supports. */
export const PROTOCOL_VERSION = 1;
/** Oldest version of the peer protocol that this release supports. */
export const OLDEST_PROTOCOL_VERSION = 1;

const NONCE_BYTES = 16;
const MAC_BYTES = 32;
const MAX_NAME_LENGTH = 128;

/** Schema of the first frame that each side sends. */
export const greetingSchema = z.object({
  kind: z.literal('greeting'),
  version: z.number().int(),
  oldestVersion: z.number().int(),
  host: z.string().min(1).max(MAX_NAME_LENGTH),
  dataCentre: z.string().min(1).max(MAX_NAME_LENGTH),
  incarnation: z.string().min(1).max(MAX_NAME_LENGTH),
  nonce: z.instanceof(Uint8Array).refine(bytes => bytes.length === NONCE_BYTES),
});

/** First frame that each side sends: its identity, protocol versions and nonce. */
export type Greeting = z.output<typeof greetingSchema>;

/** Schema of the second frame that each side sends: proves that it knows the shared key. */
export const proofSchema = z.object({
  kind: z.literal('proof'),
  mac: z.instanceof(Uint8Array).refine(bytes => bytes.length === MAC_BYTES),
});

/** Identity of a host; that of a peer is trusted once its proof is verified. */
export interface PeerIdentity {
  readonly host: string;
  readonly dataCentre: string;
  /** Identifies one run of the process; a restart of the host process changes it. */
  readonly incarnation: string;
}

/** Creates a greeting with a new random nonce. */
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
 * Computes the proof of one side: an HMAC-SHA-256 over both greetings, its own
 * greeting first.
 * @param key - Key shared by all peers.
 * @param own - Greeting of the side that is authenticated by the proof.
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

/** Returns whether the sender of a greeting supports a protocol version of this release. */
export function isCompatible(greeting: Greeting): boolean {
  return (
    greeting.version >= OLDEST_PROTOCOL_VERSION &&
    greeting.oldestVersion <= PROTOCOL_VERSION
  );
}
