/** Holds whether this host is stopping. */
export class ShutdownState {
  private stopping = false;

  isStopping(): boolean {
    return this.stopping;
  }

  /** Records that the host is stopping; this cannot be undone. */
  setStopping(): void {
    this.stopping = true;
  }
}
