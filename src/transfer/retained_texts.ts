import {createHash} from 'node:crypto';
import {Clock} from '../time/index.js';

/** A version of a row's text. */
interface RetainedText {
  readonly key: string;
  readonly text: string;
  readonly hash: string;
  /** When a newer version was added, monotonic ms; `undefined` for the current one. */
  replacedMs?: number;
}

/** Versions kept of each row: a configuration changed four times within 4 s. */
const MAX_VERSIONS = 4;
/** Most text kept of all rows, in UTF-16 code units: three texts of 4 MiB. */
const MAX_TOTAL_LENGTH = 12_582_912;
/**
 * Time for which replaced versions are kept, in milliseconds. Hosts that are connected
 * get a new version within seconds; after that, memory matters more.
 */
const RETENTION_MS = 60_000;
const HASH_LENGTH = 32;

/** Returns the hash by which hosts state which text they hold. */
export function hashLongText(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_LENGTH);
}

/** Keeps the last versions of long texts, as bases of differences. Memory is bounded. */
export class RetainedTexts {
  /** The oldest is the first. */
  private texts: RetainedText[] = [];

  constructor(private readonly clock: Clock) {}

  /** Keeps the current text of a row; returns its hash. */
  add(key: string, text: string): string {
    const known = this.texts.find(
      entry => entry.key === key && entry.text === text,
    );
    if (known !== undefined) {
      return known.hash;
    }
    const hash = hashLongText(text);
    const current = this.texts.findLast(entry => entry.key === key);
    if (current !== undefined) {
      current.replacedMs = this.clock.monotonicMs();
    }
    this.texts.push({key, text, hash});
    this.trim();
    return hash;
  }

  /** Returns a version of a row's text; `undefined` if it is not kept. */
  find(key: string, hash: string): string | undefined {
    return this.texts.find(entry => entry.key === key && entry.hash === hash)
      ?.text;
  }

  private trim(): void {
    const oldestMs = this.clock.monotonicMs() - RETENTION_MS;
    const versions = new Map<string, number>();
    let length = 0;
    const kept: RetainedText[] = [];
    for (const entry of [...this.texts].reverse()) {
      const newer = versions.get(entry.key) ?? 0;
      length += entry.text.length;
      const {replacedMs = Number.POSITIVE_INFINITY} = entry;
      const isKept = newer < MAX_VERSIONS && replacedMs > oldestMs;
      if (length <= MAX_TOTAL_LENGTH && isKept) {
        kept.unshift(entry);
        versions.set(entry.key, newer + 1);
      }
    }
    this.texts = kept;
  }
}
