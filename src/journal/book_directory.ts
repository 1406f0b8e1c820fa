/** A host's claim to hold a book. */
export interface BookClaim {
  readonly book: string;
  readonly host: string;
  /** Fencing number under which it holds the book; 0 for a host's own book. */
  readonly fence: number;
}

/** Who holds which book, as far as this host has heard. */
export class BookDirectory {
  private readonly claims = new Map<string, BookClaim>();

  /** @param self - Name of this host, which knows best what it holds itself. */
  constructor(private readonly self: string) {}

  /** Returns the host that holds a book. */
  getHolder(book: string): string | undefined {
    return this.claims.get(book)?.host;
  }

  /**
   * Takes in a claim, from the table or from a peer.
   *
   * The higher fence wins; under one fence the book was handed on, and the
   * later word wins. A book held here is not given up to such a word: its
   * former holder may have said so before it handed the book on.
   * @param claim - The claim.
   */
  add(claim: BookClaim): void {
    const known = this.claims.get(claim.book);
    const isOlder = known !== undefined && claim.fence < known.fence;
    const isHeldHere =
      known?.host === this.self &&
      claim.host !== this.self &&
      claim.fence === known.fence;
    if (!isOlder && !isHeldHere) {
      this.claims.set(claim.book, claim);
    }
  }

  /** Notes that this host has handed a book on under the same fence. */
  handOn(claim: BookClaim): void {
    this.remove(claim.book, this.self);
    this.add(claim);
  }

  /** Forgets a claim that turned out to be false. */
  remove(book: string, host: string): void {
    if (this.claims.get(book)?.host === host) {
      this.claims.delete(book);
    }
  }
}
