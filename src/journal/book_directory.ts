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

  /** Returns the host that holds a book. */
  getHolder(book: string): string | undefined {
    return this.claims.get(book)?.host;
  }

  /**
   * Takes in a claim, from the table or from a peer.
   *
   * The higher fence wins; under one fence the book was handed on, and the
   * later word wins.
   * @param claim - The claim.
   */
  add(claim: BookClaim): void {
    const known = this.claims.get(claim.book);
    if (known === undefined || claim.fence >= known.fence) {
      this.claims.set(claim.book, claim);
    }
  }

  /** Forgets a claim that turned out to be false. */
  remove(book: string, host: string): void {
    if (this.claims.get(book)?.host === host) {
      this.claims.delete(book);
    }
  }
}
