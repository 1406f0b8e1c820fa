import {z} from 'zod';
import {Log} from '../log/index.js';
import {Row, Step, StepKind, TableService} from '../table/index.js';
import {Clock} from '../time/index.js';
import {Quarantine} from './quarantine.js';
import {ToldSuspect} from './suspect.js';

/** What the rows of the quarantine work with. */
export interface QuarantineRowsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly table: TableService;
  readonly quarantine: Quarantine;
  /** Tells whether this host hears most others, so that they tell it all they know. */
  readonly hearsOthers: () => boolean;
}

const PREFIX = 'quarantine/';
/** Pause between looks at what is to be written, in milliseconds. */
const STEP_MS = 500;
/** The same while there is no suspect, in milliseconds. */
const IDLE_STEP_MS = 1000;
/**
 * Pause between readings while other hosts are not heard, in milliseconds: what ended
 * three servers has to be known everywhere within three seconds.
 */
const READ_MS = 1000;
/** Steps in one transaction, at most. */
const MAX_STEPS = 100;
/** Age at which a row is removed, in milliseconds: nobody counts it any more. */
const OLD_MS = 1_200_000;

const rowSchema = z.object({
  content: z.string().min(1),
  /** The server's start. */
  server: z.string().min(1),
  level: z.number().int().min(1),
  /** Time of day of the end, Unix milliseconds. */
  atMs: z.number(),
});

/** A server that ended under a content, as the table keeps it. */
type KeptEnd = z.output<typeof rowSchema>;

/**
 * Keeps the quarantine beyond the life of any host, and tells hosts that do not hear
 * each other: a row for each server that ended under a content. All hosts may be
 * killed at once, and what they knew has to outlive them.
 */
export class QuarantineRows {
  /** Rows that stand in the table, as far as this host knows, by key. */
  private readonly written = new Map<string, KeptEnd>();
  private hasRead = false;
  private readMs = Number.NEGATIVE_INFINITY;
  private seenVersion = 0;
  private wasAlone = false;

  constructor(private readonly options: QuarantineRowsOptions) {}

  /** Works until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.step();
      const {clock, quarantine} = this.options;
      const isIdle = !quarantine.hasSuspects();
      await clock.sleep(isIdle ? IDLE_STEP_MS : STEP_MS, signal);
    }
  }

  /** Reads what may be news, and writes what is. */
  async step(): Promise<void> {
    const {clock, hearsOthers} = this.options;
    const isAlone = !hearsOthers();
    const isDue = clock.monotonicMs() - this.readMs >= READ_MS;
    if (!this.hasRead || ((isAlone || this.wasAlone) && isDue)) {
      this.readMs = clock.monotonicMs();
      // Once more after it hears the others again: they may not have heard all.
      this.wasAlone = isAlone;
      await this.read();
    }
    await this.write(isAlone);
  }

  private async read(): Promise<void> {
    const {table, quarantine} = this.options;
    const rows = await table.list(PREFIX);
    if (rows.isErr) {
      return;
    }
    this.hasRead = true;
    const told: ToldSuspect[] = [];
    const old: Step[] = [];
    for (const row of rows.value) {
      const suspect = this.readRow(row);
      if (suspect === undefined) {
        old.push({kind: StepKind.DELETE, key: row.key});
      } else {
        told.push(suspect);
      }
    }
    quarantine.merge(told);
    await this.transact(old);
  }

  /** Reads a row; returns nothing for one that is of no more use. */
  private readRow({key, value}: Row): ToldSuspect | undefined {
    const parsed = rowSchema.safeParse(value);
    if (!parsed.success) {
      this.options.log.warn('record_skipped', {record: key});
      return undefined;
    }
    const {content, server, level, atMs} = parsed.data;
    const nowMs = this.options.clock.now().getTime();
    const ageMs = Math.max(0, nowMs - atMs);
    if (ageMs > OLD_MS || this.options.quarantine.isCleared(content, level)) {
      return undefined;
    }
    this.written.set(key, parsed.data);
    return {content, clearedLevel: 0, ends: [{server, level, ageMs}]};
  }

  private async write(isAlone: boolean): Promise<void> {
    const {quarantine, clock} = this.options;
    const version = quarantine.getVersion();
    if (version === this.seenVersion && !isAlone) {
      return;
    }
    const nowMs = clock.now().getTime();
    const steps = this.listCleared();
    for (const {content, ends} of quarantine.listWorthKeeping(isAlone)) {
      for (const {server, level, ageMs} of ends) {
        const key = `${PREFIX}${content}/${encodeURIComponent(server)}`;
        if (!this.written.has(key)) {
          const atMs = Math.round(nowMs - ageMs);
          const value: KeptEnd = {content, server, level, atMs};
          steps.push({kind: StepKind.PUT, key, value});
        }
      }
    }
    if (await this.transact(steps)) {
      this.seenVersion = version;
    }
  }

  /** Lists the removal of rows that an answer has cleared. */
  private listCleared(): Step[] {
    const steps: Step[] = [];
    for (const [key, {content, level}] of this.written) {
      if (this.options.quarantine.isCleared(content, level)) {
        steps.push({kind: StepKind.DELETE, key});
      }
    }
    return steps;
  }

  /** Makes changes; returns whether all are made. */
  private async transact(steps: readonly Step[]): Promise<boolean> {
    for (let from = 0; from < steps.length; from += MAX_STEPS) {
      const batch = steps.slice(from, from + MAX_STEPS);
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
