import {Result} from 'true-myth';
import {
  Commit,
  Row,
  Step,
  TableFailure,
  TableFailureKind,
  TableService,
} from '../table/index.js';
import {Clock} from '../time/index.js';

/** Injected faults of the table. */
export const TableFault = {
  NONE: 'none',
  /** Requests do not reach it. */
  DOWN: 'down',
  /** Reads and writes take effect only after a delay. */
  SLOW: 'slow',
  /** Writes take effect; their answers are lost. */
  ANSWER_LOST: 'answer-lost',
  /** Writes take effect at once; their answers are delayed. */
  ANSWER_DELAYED: 'answer-late',
  /** Answers of writes are lost, and the writes take effect later. */
  DELAYED: 'late',
} as const;
export type TableFault = (typeof TableFault)[keyof typeof TableFault];

const LATENCY_MS = 5;
const SLOW_MS = 700;
const TIMEOUT_MS = 1000;
const DELAYED_WRITE_MS = 2500;
const ANSWER_DELAY_MS = 900;

/** A table with injected latency and faults; a schedule sets the current fault. */
export class FaultyTable implements TableService {
  fault: TableFault = TableFault.NONE;
  writes = 0;

  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
  ) {}

  getEra(): number | undefined {
    return this.table.getEra();
  }

  get(key: string): Promise<Result<Row | undefined, TableFailure>> {
    return this.read(() => this.table.get(key));
  }

  list(prefix: string): Promise<Result<readonly Row[], TableFailure>> {
    return this.read(() => this.table.list(prefix));
  }

  async transact(
    steps: readonly Step[],
  ): Promise<Result<Commit, TableFailure>> {
    this.writes++;
    switch (this.fault) {
      case TableFault.DOWN:
        await this.clock.sleep(LATENCY_MS);
        return Result.err(createFailure(TableFailureKind.UNREACHED));
      case TableFault.SLOW:
        await this.clock.sleep(SLOW_MS);
        return this.table.transact(steps);
      case TableFault.ANSWER_LOST:
        await this.clock.sleep(LATENCY_MS);
        await this.table.transact(steps);
        await this.clock.sleep(TIMEOUT_MS);
        return Result.err(createFailure(TableFailureKind.UNANSWERED));
      case TableFault.ANSWER_DELAYED: {
        const commit = await this.table.transact(steps);
        await this.clock.sleep(ANSWER_DELAY_MS);
        return commit;
      }
      case TableFault.DELAYED:
        void this.clock
          .sleep(DELAYED_WRITE_MS)
          .then(() => this.table.transact(steps));
        await this.clock.sleep(TIMEOUT_MS);
        return Result.err(createFailure(TableFailureKind.UNANSWERED));
      default:
        await this.clock.sleep(LATENCY_MS);
        return this.table.transact(steps);
    }
  }

  private async read<T>(
    read: () => Promise<Result<T, TableFailure>>,
  ): Promise<Result<T, TableFailure>> {
    if (this.fault === TableFault.DOWN) {
      await this.clock.sleep(LATENCY_MS);
      return Result.err(createFailure(TableFailureKind.UNREACHED));
    }
    await this.clock.sleep(
      this.fault === TableFault.SLOW ? SLOW_MS : LATENCY_MS,
    );
    return read();
  }
}

function createFailure(kind: TableFailure['kind']): TableFailure {
  return {kind, detail: 'injected table fault'};
}
