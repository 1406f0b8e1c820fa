import {listChangedSince} from '../changes/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Clock} from '../time/index.js';
import {
  MAX_SUSPECTS_PER_MESSAGE,
  readLevel,
  ReportedSuspect,
  Suspect,
} from './suspect.js';
import {BlamedSuspects, judgeSuspects} from './judge_suspects.js';
import {RecentAnswers} from './recent_answers.js';
import {getSuspicionRule, isPart, isSender} from './suspicion_rule.js';

/** Dependencies of `Quarantine`. */
export interface QuarantineOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Changed suspects, and the version up to which they are complete. */
export interface SuspectPage {
  readonly version: number;
  readonly suspects: ReportedSuspect[];
}

/** Time after its last change at which a suspect is removed, in milliseconds. */
const RETENTION_MS = 600_000;
/**
 * Terminations that are kept of one suspect, less than hosts accept in a message. A sender may
 * lose many requests with servers that others terminate.
 */
const MAX_ENDS = 400;
/** Terminations that a log line lists. */
const MAX_LISTED_ENDS = 6;
/** Maximum number of suspects; beyond it the oldest that is not blocked is removed. */
const MAX_SUSPECTS = 2000;

/**
 * Tracks requests that terminate the servers that run them, by content. A host that
 * observes a termination reports it to all hosts, and a request that has terminated
 * several servers is no longer sent to any. Without the quarantine one such request,
 * retried by its caller at every host, terminated 42 servers in half a minute (observed
 * by operators). In a test of the programs with three hosts and 14 servers, ten more
 * servers terminated after the third without it, and none with it.
 *
 * Reports of hosts are merged by union and maximum, so they may arrive delayed, twice and
 * in any order.
 */
export class Quarantine {
  /** By content; the least recently changed first. */
  private readonly suspects = new Map<string, Suspect>();
  private readonly listeners: (() => void)[] = [];
  private version = 0;
  /** The suspects that are to blame, as of a version. */
  private blamed: BlamedSuspects = new Map();
  private blamedVersion = 0;
  private readonly recentAnswers: RecentAnswers;

  constructor(private readonly options: QuarantineOptions) {
    this.recentAnswers = new RecentAnswers(options.clock);
    options.metrics.addCounter(
      'quarantined',
      'Contents that were kept away from servers',
    );
    options.metrics.addGauge(
      'quarantine_suspects',
      'Contents under which servers have ended',
      () => this.suspects.size,
    );
  }

  /** Adds a function that is called when this host observes a termination under a request. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Returns whether there is any suspect; if not, no fingerprints are needed. */
  hasSuspects(): boolean {
    return this.suspects.size > 0;
  }

  /** Returns the current level of a content; a run keeps the one at which it began. */
  getLevel(content: string): number {
    const suspect = this.suspects.get(content);
    return suspect === undefined ? 0 : readLevel(suspect);
  }

  /** Returns the time for which a content is still blocked, in milliseconds. */
  getRemainingBlockMs(content: string): number {
    const suspect = this.suspects.get(content);
    if (suspect === undefined || !this.isBlocked(content)) {
      return 0;
    }
    const leftMs = getBlockMs(suspect) - this.getAgeMs(suspect);
    if (leftMs <= 0 && !isSender(content)) {
      this.suspects.delete(content);
    }
    return Math.max(0, leftMs);
  }

  /**
   * Returns the time for which a request with some parts is blocked for one of them, in
   * milliseconds. One that was lost with the same servers as others counts only together with
   * these.
   */
  getRemainingPartBlockMs(name: string, parts: ReadonlySet<string>): number {
    const blockMs = this.getRemainingBlockMs(name);
    const group = this.blamed.get(name) ?? [];
    return group.every(member => parts.has(member)) ? blockMs : 0;
  }

  /** Returns whether a suspect was blocked and no run of it was answered since. */
  needsProbe(name: string): boolean {
    return this.isBlocked(name);
  }

  /** Counts the terminations under a suspect in the last `ms` milliseconds. */
  countTerminationsWithin(name: string, ms: number): number {
    const oldestMs = this.options.clock.monotonicMs() - ms;
    const ends = this.suspects.get(name)?.ends.values() ?? [];
    return [...ends].filter(({atMs}) => atMs >= oldestMs).length;
  }

  /**
   * Records that a server terminated while it ran a content.
   * @param content - The content.
   * @param server - Incarnation of the server.
   * @param level - Level when the run began; see `getLevel`.
   */
  addTermination(content: string, server: string, level: number): void {
    if (this.addObserved(content, server, level)) {
      this.notifyListeners();
    }
  }

  /**
   * Records that a server terminated while it ran a request with parts. Those with which servers
   * completed answers lately are bystanders.
   * @param parts - Level of each part when the run began, by its name; see `getLevel`.
   * @param server - Incarnation of the server.
   */
  addPartTermination(parts: ReadonlyMap<string, number>, server: string): void {
    let hasChanged = false;
    for (const [name, level] of parts) {
      if (!this.recentAnswers.has(name)) {
        const isNew = this.addObserved(name, server, level);
        hasChanged ||= isNew;
      }
    }
    if (hasChanged) {
      this.notifyListeners();
    }
  }

  /** Records that a server completed an answer to a request with a part. */
  addPartAnswer(name: string): void {
    this.recentAnswers.add(name);
    this.clearAnswered(name);
  }

  /**
   * Records that a run of a content was answered.
   * @param content - The content.
   * @param level - Level when the run began; see `getLevel`.
   */
  addSuccess(content: string, level: number): void {
    const suspect = this.suspects.get(content);
    if (suspect === undefined || level <= suspect.clearedLevel) {
      return;
    }
    clear(suspect, level);
    this.recordChange(content, suspect);
  }

  /** Returns the version of the last change. */
  getVersion(): number {
    return this.version;
  }

  /** Lists the suspects that have changed since a version, the oldest changes first. */
  listSince(version: number): SuspectPage {
    const page = listChangedSince(this.suspects, {
      since: version,
      latest: this.version,
      maxEntries: MAX_SUSPECTS_PER_MESSAGE,
    });
    return {
      version: page.version,
      suspects: page.changed.map(entry => this.describe(...entry)),
    };
  }

  /**
   * Lists the suspects of which this host observed a termination itself.
   * @param isIsolated - Whether to include those that are not blocked.
   */
  listPersistable(isIsolated: boolean): ReportedSuspect[] {
    const persistable: ReportedSuspect[] = [];
    for (const [content, suspect] of this.suspects) {
      if (suspect.isObservedHere && (isIsolated || this.isBlocked(content))) {
        persistable.push(this.describe(content, suspect));
      }
    }
    return persistable;
  }

  /** Returns whether an answer has cleared all terminations up to a level. */
  isCleared(content: string, level: number): boolean {
    return level <= (this.suspects.get(content)?.clearedLevel ?? 0);
  }

  /** Merges suspects that another host reports, or that an earlier incarnation stored. */
  merge(reported: readonly ReportedSuspect[]): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const {content, clearedLevel, ends} of reported) {
      const recent = ends.filter(({ageMs}) => ageMs < RETENTION_MS);
      if (recent.length === 0 && !this.suspects.has(content)) {
        continue;
      }
      const suspect = this.getSuspect(content);
      let changed = clear(suspect, clearedLevel);
      for (const {server, level, ageMs} of recent) {
        const isNew = addEnd(suspect, server, {level, atMs: nowMs - ageMs});
        changed ||= isNew;
      }
      if (!changed) {
        continue;
      }
      this.recordChange(content, suspect);
      if (isPart(content) && this.recentAnswers.has(content)) {
        // Other hosts have not seen the answers that this one relayed.
        this.clearAnswered(content);
      }
    }
  }

  /** Adds a termination that this host observed; returns whether it is new. */
  private addObserved(name: string, server: string, level: number): boolean {
    const suspect = this.getSuspect(name);
    const atMs = this.options.clock.monotonicMs();
    if (!addEnd(suspect, server, {level: level + 1, atMs})) {
      return false;
    }
    suspect.isObservedHere = true;
    this.recordChange(name, suspect);
    return true;
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) {
      listener();
    }
  }

  /** Clears all terminations of a part, with which a server has completed an answer. */
  private clearAnswered(name: string): void {
    const suspect = this.suspects.get(name);
    if (suspect !== undefined && clear(suspect, readLevel(suspect))) {
      this.recordChange(name, suspect);
    }
  }

  /** The same as `isBlocked`; fast for the many suspects with few terminations. */
  private mayBeBlocked(name: string, {ends, rule}: Suspect): boolean {
    return ends.size >= rule.ends && this.isBlocked(name);
  }

  private isBlocked(name: string): boolean {
    this.judge();
    return this.blamed.has(name);
  }

  /** Judges the suspects again if they have changed. */
  private judge(): void {
    if (this.blamedVersion === this.version) {
      return;
    }
    const before = this.blamed;
    this.blamed = judgeSuspects(this.suspects);
    this.blamedVersion = this.version;
    for (const content of this.blamed.keys()) {
      if (!before.has(content)) {
        this.logBlocked(content);
      }
    }
    for (const content of before.keys()) {
      if (!this.blamed.has(content)) {
        this.options.log.info('quarantine_ended', {content});
      }
    }
  }

  private logBlocked(content: string): void {
    const suspect = this.getSuspect(content);
    this.options.metrics.increment('quarantined');
    this.options.log.warn('quarantined', {
      content,
      servers: [...suspect.ends.keys()].slice(0, MAX_LISTED_ENDS).join(','),
      ends: suspect.ends.size,
      level: readLevel(suspect),
    });
  }

  private describe(content: string, suspect: Suspect): ReportedSuspect {
    const nowMs = this.options.clock.monotonicMs();
    const ends = [...suspect.ends].map(([server, {level, atMs}]) => ({
      server,
      level,
      ageMs: Math.max(0, nowMs - atMs),
    }));
    return {content, clearedLevel: suspect.clearedLevel, ends};
  }

  private getSuspect(content: string): Suspect {
    return (
      this.suspects.get(content) ?? {
        clearedLevel: 0,
        ends: new Map(),
        version: 0,
        isObservedHere: false,
        changedMs: 0,
        rule: getSuspicionRule(content),
      }
    );
  }

  private recordChange(content: string, suspect: Suspect): void {
    suspect.version = ++this.version;
    suspect.changedMs = this.options.clock.monotonicMs();
    this.suspects.delete(content);
    this.suspects.set(content, suspect);
    this.trim();
  }

  /** Removes suspects that are too old, and the oldest if there are too many. */
  private trim(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [content, suspect] of this.suspects) {
      const isExpired = nowMs - suspect.changedMs > RETENTION_MS;
      if (!isExpired && this.suspects.size <= MAX_SUSPECTS) {
        return;
      }
      if (isExpired || !this.mayBeBlocked(content, suspect)) {
        this.suspects.delete(content);
      }
    }
  }

  /** Returns the time since the last termination, in milliseconds. */
  private getAgeMs({ends}: Suspect): number {
    const lastMs = Math.max(...[...ends.values()].map(({atMs}) => atMs));
    return this.options.clock.monotonicMs() - lastMs;
  }
}

function getBlockMs(suspect: Suspect): number {
  const {levels, holdMs, maxHoldMs} = suspect.rule;
  return Math.min(maxHoldMs, holdMs * 2 ** (countSteps(suspect) - levels));
}

/** Counts the steps in which servers terminated since a run was answered. */
function countSteps(suspect: Suspect): number {
  return readLevel(suspect) - suspect.clearedLevel;
}

/** Adds a termination that is new and not cleared; returns whether it was added. */
function addEnd(
  suspect: Suspect,
  server: string,
  end: {readonly level: number; readonly atMs: number},
): boolean {
  const {ends, clearedLevel} = suspect;
  const known = ends.get(server);
  const isNew = known === undefined || known.level < end.level;
  if (end.level <= clearedLevel || !isNew) {
    return false;
  }
  if (known === undefined && ends.size >= MAX_ENDS) {
    const replaced = [...ends].find(([, {level}]) => level < end.level);
    if (replaced === undefined) {
      return false;
    }
    ends.delete(replaced[0]);
  }
  ends.set(server, end);
  return true;
}

/** Clears the terminations up to a level; returns whether that level is a new one. */
function clear(suspect: Suspect, level: number): boolean {
  if (level <= suspect.clearedLevel) {
    return false;
  }
  suspect.clearedLevel = level;
  for (const [server, end] of suspect.ends) {
    if (end.level <= level) {
      suspect.ends.delete(server);
    }
  }
  return true;
}
