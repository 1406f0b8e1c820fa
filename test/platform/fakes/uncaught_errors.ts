/** Collects the errors that would end a process, in place of the test runner. */
export class UncaughtErrors {
  readonly list: unknown[] = [];
  private readonly others = process.listeners('uncaughtException');
  private readonly add = (error: unknown) => void this.list.push(error);

  /** Starts to collect. */
  constructor() {
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', this.add);
  }

  /** Leaves errors to the test runner again. */
  stop(): void {
    process.off('uncaughtException', this.add);
    for (const listener of this.others) {
      process.on('uncaughtException', listener);
    }
  }
}
