const PREFIX = 'sf1';
const PATTERN = /^sf1\.([a-z0-9-]+)\.([a-z0-9]+)\.([a-z0-9]+)$/;

/** A key minted by an entry host; only that host may run the request under it. */
export interface MintedKey {
  readonly host: string;
  readonly incarnation: string;
  readonly sequence: string;
}

/** Formats a minted key as `sf1.HOST.INCARNATION.SEQUENCE`. */
export function formatMintedKey(key: MintedKey): string {
  return `${PREFIX}.${key.host}.${key.incarnation}.${key.sequence}`;
}

/** Returns whether a text has the prefix of minted keys. */
export function isMintedKey(text: string): boolean {
  return text.startsWith(`${PREFIX}.`);
}

/** Parses a minted key; returns `undefined` if the text is not one. */
export function parseMintedKey(text: string): MintedKey | undefined {
  const match = PATTERN.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, host = '', incarnation = '', sequence = ''] = match;
  return {host, incarnation, sequence};
}

/** Mints keys for one incarnation of a host. */
export class KeyMint {
  private sequence = 0;

  constructor(
    private readonly host: string,
    private readonly incarnation: string,
  ) {}

  /** Returns a key that has not been minted before. */
  mint(): string {
    this.sequence++;
    return formatMintedKey({
      host: this.host,
      incarnation: this.incarnation,
      sequence: this.sequence.toString(36),
    });
  }
}
