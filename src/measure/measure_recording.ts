import {Result} from 'true-myth';
import {
  BookPosition,
  CommitBudget,
  EntryState,
  Journal,
} from '../journal/index.js';
import {LogFields} from '../log/index.js';
import {
  ABSENT,
  Commit,
  MemoryTableService,
  Step,
  StepKind,
  TableFailure,
  TableService,
} from '../table/index.js';
import {SeededRandom} from '../random/index.js';
import {VirtualClock} from '../time/index.js';
import {getPercentile} from './figures.js';

const TABLE_LATENCY_MS = 8;
const DURATION_MS = 10_000;
const WRITES_PER_SECOND = 25;
const SERVICE_MS = 5;

/** A table with a fixed latency that counts its writes. */
class TimedTable implements TableService {
  writes = 0;
  private readonly table = new MemoryTableService();

  constructor(private readonly clock: VirtualClock) {}

  getEra(): number {
    return this.table.getEra();
  }

  async get(key: string) {
    await this.clock.sleep(TABLE_LATENCY_MS);
    return this.table.get(key);
  }

  async list(prefix: string) {
    await this.clock.sleep(TABLE_LATENCY_MS);
    return this.table.list(prefix);
  }

  async transact(
    steps: readonly Step[],
  ): Promise<Result<Commit, TableFailure>> {
    this.writes++;
    await this.clock.sleep(TABLE_LATENCY_MS);
    return this.table.transact(steps);
  }
}

/** Records one booking and its outcome; resolves when the caller can be answered. */
type RecordBooking = (key: string) => Promise<void>;

/**
 * Compares three ways to record a booking: a row per request, the journal of a
 * slot, and keys minted by the host that runs the booking. Uses one host and
 * four slots.
 * @returns One line per way and rate.
 */
export async function measureRecording(): Promise<LogFields[]> {
  const lines: LogFields[] = [];
  for (const rate of [5, 50, 500]) {
    lines.push(await measurePolicy('row-per-request', rate, recordInRows));
    lines.push(await measurePolicy('slot-journal', rate, recordInJournals));
    lines.push(await measurePolicy('minted-key', rate, recordMintedKeys));
  }
  return lines;
}

async function measurePolicy(
  policy: string,
  rate: number,
  createRecorder: (table: TimedTable, clock: VirtualClock) => RecordBooking,
): Promise<LogFields> {
  const clock = new VirtualClock();
  const table = new TimedTable(clock);
  const random = new SeededRandom(3);
  const record = createRecorder(table, clock);
  const addedMs: number[] = [];
  const send = async (key: string) => {
    const startMs = clock.monotonicMs();
    await record(key);
    addedMs.push(clock.monotonicMs() - startMs - SERVICE_MS);
  };
  const sending = (async () => {
    for (let call = 0; clock.monotonicMs() < DURATION_MS; call++) {
      void send(`key-${call}`);
      await clock.sleep((-Math.log(1 - random.next()) * 1000) / rate);
    }
  })();
  await clock.advance(DURATION_MS * 3);
  await sending;
  return {
    experiment: 'recording',
    policy,
    bookings_per_s: rate,
    writes_per_booking: (table.writes / addedMs.length).toFixed(2),
    added_p50_ms: Math.round(getPercentile(addedMs, 0.5)),
    added_p99_ms: Math.round(getPercentile(addedMs, 0.99)),
  };
}

/** Makes two table writes per booking, within the write budget of the journals. */
function recordInRows(table: TimedTable, clock: VirtualClock): RecordBooking {
  const budget = new CommitBudget(() => WRITES_PER_SECOND, clock);
  const write = async (key: string, ifVersion?: number) => {
    await budget.spend();
    await table.transact([
      {
        kind: StepKind.PUT,
        key,
        value: {},
        ...(ifVersion === undefined ? {} : {ifVersion}),
      },
    ]);
  };
  return async key => {
    await write(key, ABSENT);
    await clock.sleep(SERVICE_MS);
    void write(key);
  };
}

/** Appends the dispatch to a slot's journal before the call, and the outcome after it. */
function recordInJournals(
  table: TimedTable,
  clock: VirtualClock,
): RecordBooking {
  const journals = createJournals(table, clock);
  let next = 0;
  return async key => {
    const journal = journals[next++ % journals.length];
    const entry = createEntry(key, EntryState.DISPATCHED);
    await journal?.append(entry, DURATION_MS, () => undefined);
    await clock.sleep(SERVICE_MS);
    void journal?.add(createEntry(key, EntryState.FINISHED));
  };
}

/** Adds only the outcome to a journal, after the call. */
function recordMintedKeys(
  table: TimedTable,
  clock: VirtualClock,
): RecordBooking {
  const journal = createJournals(table, clock)[0];
  return async key => {
    await clock.sleep(SERVICE_MS);
    void journal?.add(createEntry(key, EntryState.FINISHED));
  };
}

function createJournals(table: TimedTable, clock: VirtualClock): Journal[] {
  const budget = new CommitBudget(() => WRITES_PER_SECOND, clock);
  return Array.from({length: 4}, (_unused, slot) => {
    const position: BookPosition = {
      book: `slot-${slot}`,
      fence: 1,
      sequence: 0,
      version: ABSENT,
    };
    return new Journal(position, [], {
      table,
      clock,
      host: 'host',
      incarnation: 'start',
      takeWriteBudget: () => budget.spend(),
      lingerMs: 50,
      retryMs: 100,
      retentionMs: DURATION_MS * 100,
    });
  });
}

function createEntry(key: string, state: EntryState) {
  return {
    key,
    requestId: key,
    deployment: 'bids',
    attempt: '',
    fingerprint: '',
    state,
    atMs: 0,
  };
}
