const PREFIX = 'sf1';
const PATTERN = /^sf1\.([a-z0-9-]+)\.([a-z0-9]+)\.([a-z0-9]+)$/;

/** A key that an entry host made; that host alone may run its request. */
export interface MintedKey {
  readonly host: string;
  readonly incarnation: string;
  readonly sequence: string;
}

/** Writes a minted key as text: `sf1.HOST.INCARNATION.SEQUENCE`. */
export function formatMintedKey(key: MintedKey): string {
  return `${PREFIX}.${key.host}.${key.incarnation}.${key.sequence}`;
}

/** Tells whether a text claims to be a minted key. */
export function isMintedKey(text: string): boolean {
  return text.startsWith(`${PREFIX}.`);
}

/** Reads a minted key; `undefined` when the text is none. */
export function parseMintedKey(text: string): MintedKey | undefined {
  const match = PATTERN.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, host = '', incarnation = '', sequence = ''] = match;
  return {host, incarnation, sequence};
}

/** Mints keys for one start of one host. */
export class KeyMint {
  private sequence = 0;

  constructor(
    private readonly host: string,
    private readonly incarnation: string,
  ) {}

  /** Makes a key that was never made before. */
  mint(): string {
    this.sequence++;
    return formatMintedKey({
      host: this.host,
      incarnation: this.incarnation,
      sequence: this.sequence.toString(36),
    });
  }
}
