import {z} from 'zod';
import {Log} from '../log/index.js';
import {
  RestorationWatch,
  Row,
  Step,
  StepKind,
  TableService,
} from '../table/index.js';
import {Clock} from '../time/index.js';
import {Quarantine} from './quarantine.js';
import {ReportedSuspect} from './suspect.js';

/** Dependencies of `QuarantineRows`. */
export interface QuarantineRowsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly table: TableService;
  readonly quarantine: Quarantine;
  /** Returns whether this host receives from most others, and so all that they know. */
  readonly reachesOthers: () => boolean;
}

const PREFIX = 'quarantine/';
/** Interval between checks for rows to write, in milliseconds. */
const STEP_INTERVAL_MS = 500;
/** The same interval while there is no suspect, in milliseconds. */
const IDLE_STEP_INTERVAL_MS = 1000;
/**
 * Interval between reads while other hosts are unreachable, in milliseconds: a request
 * that terminated three servers must be known at all hosts within three seconds.
 */
const READ_INTERVAL_MS = 1000;
/** Maximum number of steps in one transaction. */
const MAX_STEPS_PER_TRANSACTION = 100;
/** Age at which a row is removed, in milliseconds: no host counts it any more. */
const MAX_ROW_AGE_MS = 1_200_000;

const rowSchema = z.object({
  content: z.string().min(1),
  /** Incarnation of the server. */
  server: z.string().min(1),
  level: z.number().int().min(1),
  /** Wall-clock time of the termination, Unix milliseconds. */
  atMs: z.number(),
});

/** A server that terminated under a content, as stored in the table. */
type StoredTermination = z.output<typeof rowSchema>;

/**
 * Stores the quarantine in the table, with a row for each server that terminated under a
 * content. It thus survives even if all hosts are killed at once, and reaches hosts that
 * cannot exchange messages.
 */
export class QuarantineRows {
  /** Rows that are in the table, as far as this host knows, by key. */
  private readonly written = new Map<string, StoredTermination>();
  private hasRead = false;
  private lastReadMs = Number.NEGATIVE_INFINITY;
  private writtenVersion = 0;
  private wasIsolated = false;
  private readonly restorations: RestorationWatch;

  constructor(private readonly options: QuarantineRowsOptions) {
    this.restorations = new RestorationWatch(options.table);
  }

  /** Reads and writes rows until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.step();
      const {clock, quarantine} = this.options;
      const isIdle = !quarantine.hasSuspects();
      await clock.sleep(
        isIdle ? IDLE_STEP_INTERVAL_MS : STEP_INTERVAL_MS,
        signal,
      );
    }
  }

  /** Reads the rows of other hosts if necessary, and writes those that are new here. */
  async step(): Promise<void> {
    const {clock, reachesOthers} = this.options;
    if (this.restorations.hasRestored()) {
      // The table may lack rows that this host has written.
      this.written.clear();
      this.writtenVersion = 0;
      this.hasRead = false;
    }
    const isIsolated = !reachesOthers();
    const isDue = clock.monotonicMs() - this.lastReadMs >= READ_INTERVAL_MS;
    if (!this.hasRead || ((isIsolated || this.wasIsolated) && isDue)) {
      this.lastReadMs = clock.monotonicMs();
      // Read once more after the others are reachable again: they may not know every row.
      this.wasIsolated = isIsolated;
      await this.read();
    }
    await this.write(isIsolated);
  }

  private async read(): Promise<void> {
    const {table, quarantine} = this.options;
    const rows = await table.list(PREFIX);
    if (rows.isErr) {
      return;
    }
    this.hasRead = true;
    const reported: ReportedSuspect[] = [];
    const expired: Step[] = [];
    for (const row of rows.value) {
      const suspect = this.readRow(row);
      if (suspect === undefined) {
        expired.push({kind: StepKind.DELETE, key: row.key});
      } else {
        reported.push(suspect);
      }
    }
    quarantine.merge(reported);
    await this.transact(expired);
  }

  /** Parses a row; returns `undefined` if it is invalid, too old or cleared. */
  private readRow({key, value}: Row): ReportedSuspect | undefined {
    const parsed = rowSchema.safeParse(value);
    if (!parsed.success) {
      this.options.log.warn('record_skipped', {record: key});
      return undefined;
    }
    const {content, server, level, atMs} = parsed.data;
    const nowMs = this.options.clock.now().getTime();
    const ageMs = Math.max(0, nowMs - atMs);
    if (
      ageMs > MAX_ROW_AGE_MS ||
      this.options.quarantine.isCleared(content, level)
    ) {
      return undefined;
    }
    this.written.set(key, parsed.data);
    return {content, clearedLevel: 0, ends: [{server, level, ageMs}]};
  }

  private async write(isIsolated: boolean): Promise<void> {
    const {quarantine, clock} = this.options;
    const version = quarantine.getVersion();
    if (version === this.writtenVersion && !isIsolated) {
      return;
    }
    const nowMs = clock.now().getTime();
    const steps = this.listCleared();
    for (const {content, ends} of quarantine.listPersistable(isIsolated)) {
      for (const {server, level, ageMs} of ends) {
        const key = `${PREFIX}${content}/${encodeURIComponent(server)}`;
        if (!this.written.has(key)) {
          const atMs = Math.round(nowMs - ageMs);
          const value: StoredTermination = {content, server, level, atMs};
          steps.push({kind: StepKind.PUT, key, value});
        }
      }
    }
    if (await this.transact(steps)) {
      this.writtenVersion = version;
    }
  }

  /** Lists the steps that delete the rows that an answer has cleared. */
  private listCleared(): Step[] {
    const steps: Step[] = [];
    for (const [key, {content, level}] of this.written) {
      if (this.options.quarantine.isCleared(content, level)) {
        steps.push({kind: StepKind.DELETE, key});
      }
    }
    return steps;
  }

  /** Applies steps in batches; returns whether all were applied. */
  private async transact(steps: readonly Step[]): Promise<boolean> {
    for (let from = 0; from < steps.length; from += MAX_STEPS_PER_TRANSACTION) {
      const batch = steps.slice(from, from + MAX_STEPS_PER_TRANSACTION);
      const done = await this.options.table.transact(batch);
      if (done.isErr) {
        return false;
      }
      for (const {kind, key, value} of batch) {
        if (kind === StepKind.PUT) {
          this.written.set(key, rowSchema.parse(value));
        } else {
          this.written.delete(key);
        }
      }
    }
    return true;
  }
}
