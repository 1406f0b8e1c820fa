import {listChangedSince} from '../changes/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Clock} from '../time/index.js';
import {MAX_TOLD, Suspect, ToldSuspect} from './suspect.js';
import {getPlace} from './server_end_name.js';
import {getSuspicionRule, isSender} from './suspicion_rule.js';

/** What the quarantine works with. */
export interface QuarantineOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** What is told of suspects, and up to which version. */
export interface SuspectPage {
  readonly version: number;
  readonly suspects: ToldSuspect[];
}

/** Time after its last change at which a suspect is forgotten, in milliseconds. */
const FORGET_MS = 600_000;
/** How many times the ends that count have to be seen where all are of one place. */
const ONE_PLACE_FACTOR = 2;
/** Suspects remembered; the oldest that is not kept away is forgotten beyond. */
const MAX_SUSPECTS = 2000;

/**
 * Requests that end the servers that run them, by content: whoever saw a server end
 * under one tells all, and what has ended several servers is sent to none any more.
 * Without it one such request, asked again by its caller at every host, ended 42
 * servers in half a minute (seen by operators); three hosts before 14 servers lost
 * ten more after the third, and none with it (test of the programs).
 *
 * Words of hosts are merged by union and maximum, so that they may come late, twice
 * and in any order.
 */
export class Quarantine {
  /** By content; the least recently changed first. */
  private readonly suspects = new Map<string, Suspect>();
  private readonly listeners: (() => void)[] = [];
  private version = 0;

  constructor(private readonly options: QuarantineOptions) {
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

  /** Has a function called when this host has seen a server end under a request. */
  addListener(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Tells whether there is any suspect, so that contents have to be told apart. */
  hasSuspects(): boolean {
    return this.suspects.size > 0;
  }

  /** Returns what is known of a content when a run of it begins. */
  getLevel(content: string): number {
    const suspect = this.suspects.get(content);
    return suspect === undefined ? 0 : readLevel(suspect);
  }

  /** Returns the time for which a content is still kept away, in milliseconds. */
  getHeldMs(content: string): number {
    const suspect = this.suspects.get(content);
    if (suspect === undefined || !isHeld(suspect)) {
      return 0;
    }
    const leftMs = getHoldMs(suspect) - this.getAgeMs(suspect);
    if (leftMs <= 0 && !isSender(content)) {
      this.suspects.delete(content);
    }
    return Math.max(0, leftMs);
  }

  /** Tells whether a suspect was kept away, and no run of it was answered since. */
  isOnTrial(name: string): boolean {
    const suspect = this.suspects.get(name);
    return suspect !== undefined && isHeld(suspect);
  }

  /** Counts the ends of a suspect in the last milliseconds. */
  countEndsWithin(name: string, ms: number): number {
    const oldestMs = this.options.clock.monotonicMs() - ms;
    const ends = this.suspects.get(name)?.ends.values() ?? [];
    return [...ends].filter(({atMs}) => atMs >= oldestMs).length;
  }

  /**
   * Notes that a server has ended while it ran a content.
   * @param content - The content.
   * @param server - The server's start.
   * @param level - What was known when the run began; see `getLevel`.
   */
  addEnd(content: string, server: string, level: number): void {
    const suspect = this.getSuspect(content);
    const wasHeld = isHeld(suspect);
    const atMs = this.options.clock.monotonicMs();
    if (!addEnd(suspect, server, {level: level + 1, atMs})) {
      return;
    }
    suspect.isOwn = true;
    this.noteChange(content, suspect, wasHeld);
    for (const listener of this.listeners) {
      listener();
    }
  }

  /**
   * Notes that a run of a content was answered.
   * @param content - The content.
   * @param level - What was known when the run began; see `getLevel`.
   */
  addSuccess(content: string, level: number): void {
    const suspect = this.suspects.get(content);
    if (suspect === undefined || level <= suspect.clearedLevel) {
      return;
    }
    clear(suspect, level);
    this.noteChange(content, suspect, true);
  }

  /** Returns the version that the last change made. */
  getVersion(): number {
    return this.version;
  }

  /** Tells what has changed since a version, the oldest changes first. */
  listSince(version: number): SuspectPage {
    const page = listChangedSince(this.suspects, {
      since: version,
      latest: this.version,
      most: MAX_TOLD,
    });
    return {
      version: page.version,
      suspects: page.changed.map(entry => this.describe(...entry)),
    };
  }

  /** Lists what this host saw itself, or what is kept away. */
  listWorthKeeping(isAlone: boolean): ToldSuspect[] {
    const worth: ToldSuspect[] = [];
    for (const [content, suspect] of this.suspects) {
      if (suspect.isOwn && (isAlone || isHeld(suspect))) {
        worth.push(this.describe(content, suspect));
      }
    }
    return worth;
  }

  /** Tells whether every end up to a level was cleared by an answer. */
  isCleared(content: string, level: number): boolean {
    return level <= (this.suspects.get(content)?.clearedLevel ?? 0);
  }

  /** Takes in what another host, or an earlier start, has told. */
  merge(told: readonly ToldSuspect[]): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const {content, clearedLevel, ends} of told) {
      const young = ends.filter(({ageMs}) => ageMs < FORGET_MS);
      if (young.length === 0 && !this.suspects.has(content)) {
        continue;
      }
      const suspect = this.getSuspect(content);
      const wasHeld = isHeld(suspect);
      let changed = clear(suspect, clearedLevel);
      for (const {server, level, ageMs} of young) {
        const isNew = addEnd(suspect, server, {level, atMs: nowMs - ageMs});
        changed ||= isNew;
      }
      if (changed) {
        this.noteChange(content, suspect, wasHeld);
      }
    }
  }

  private describe(content: string, suspect: Suspect): ToldSuspect {
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
        isOwn: false,
        changedMs: 0,
        rule: getSuspicionRule(content),
      }
    );
  }

  private noteChange(
    content: string,
    suspect: Suspect,
    wasHeld: boolean,
  ): void {
    suspect.version = ++this.version;
    suspect.changedMs = this.options.clock.monotonicMs();
    this.suspects.delete(content);
    this.suspects.set(content, suspect);
    this.trim();
    if (!wasHeld && isHeld(suspect)) {
      const servers = [...suspect.ends.keys()].join(',');
      const level = readLevel(suspect);
      this.options.metrics.increment('quarantined');
      this.options.log.warn('quarantined', {content, servers, level});
    }
  }

  /** Forgets what is too old, and the oldest where there are too many. */
  private trim(): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [content, suspect] of this.suspects) {
      const isOld = nowMs - suspect.changedMs > FORGET_MS;
      if (!isOld && this.suspects.size <= MAX_SUSPECTS) {
        return;
      }
      if (isOld || !isHeld(suspect)) {
        this.suspects.delete(content);
      }
    }
  }

  /** Returns the time since the last end, in milliseconds. */
  private getAgeMs({ends}: Suspect): number {
    const lastMs = Math.max(...[...ends.values()].map(({atMs}) => atMs));
    return this.options.clock.monotonicMs() - lastMs;
  }
}

function readLevel({clearedLevel, ends}: Suspect): number {
  let level = clearedLevel;
  for (const end of ends.values()) {
    level = Math.max(level, end.level);
  }
  return level;
}

function isHeld(suspect: Suspect): boolean {
  const {rule, ends} = suspect;
  const places = new Set([...ends.keys()].map(getPlace));
  // One server that goes down and up by turns proves less than several that end.
  const least = places.size > 1 ? rule.ends : rule.ends * ONE_PLACE_FACTOR;
  return ends.size >= least && countSteps(suspect) >= rule.levels;
}

function getHoldMs(suspect: Suspect): number {
  const {levels, holdMs, maxHoldMs} = suspect.rule;
  return Math.min(maxHoldMs, holdMs * 2 ** (countSteps(suspect) - levels));
}

/** Counts the steps in which servers ended since a run was answered. */
function countSteps(suspect: Suspect): number {
  return readLevel(suspect) - suspect.clearedLevel;
}

/** Adds an end that counts; returns whether it was new. */
function addEnd(
  suspect: Suspect,
  server: string,
  end: {readonly level: number; readonly atMs: number},
): boolean {
  const known = suspect.ends.get(server);
  const isNew = known === undefined || known.level < end.level;
  if (end.level <= suspect.clearedLevel || !isNew) {
    return false;
  }
  suspect.ends.set(server, end);
  return true;
}

/** Drops the ends that an answer has cleared; returns whether that is news. */
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
