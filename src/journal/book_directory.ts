/** Statement that a host holds a book. */
export interface BookClaim {
  readonly book: string;
  readonly host: string;
  /** Fencing number under which it holds the book; 0 for a host's own book. */
  readonly fence: number;
}

/** The holder of each book, as far as this host knows. */
export class BookDirectory {
  private readonly claims = new Map<string, BookClaim>();

  /** @param self - Name of this host, the authority on which books it holds itself. */
  constructor(private readonly self: string) {}

  /** Returns the host that holds a book; `undefined` if it is not known. */
  getHolder(book: string): string | undefined {
    return this.claims.get(book)?.host;
  }

  /**
   * Adds a claim from the table or from a peer.
   *
   * The higher fence wins. Under an equal fence the book was handed over, and the
   * claim received last wins. A book held by this host is not given up to a claim
   * with an equal fence: its former holder may have sent that claim before it
   * handed the book over.
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

  /** Records that this host has handed a book over under the same fence. */
  handOver(claim: BookClaim): void {
    this.remove(claim.book, this.self);
    this.add(claim);
  }

  /** Removes a claim that turned out to be false. */
  remove(book: string, host: string): void {
    if (this.claims.get(book)?.host === host) {
      this.claims.delete(book);
    }
  }
}
