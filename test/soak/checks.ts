import {
  findChangedCounts,
  findExcessAtLimits,
  findExcessRetries,
  findExcessUnits,
  findLowerFences,
} from './find_excess.js';
import {
  findEnding,
  findLateChanges,
  findLosses,
  findNoRecovery,
  findStepsBack,
} from './find_late.js';
import {findLateWork} from './find_late_work.js';
import {
  findDisorder,
  findDoubled,
  findFalseRefusals,
  findForeignAnswers,
  findUnasked,
  findUnlogged,
} from './find_wrong_answers.js';
import {History} from './history.js';

/** A promise that did not hold. */
export interface Violation {
  readonly check: string;
  readonly detail: string;
}

/** Finds where a promise did not hold. */
type Find = (history: History) => Iterable<string>;

/** A promise, judged by what callers, servers, store and cloud saw. */
export interface Check {
  readonly name: string;
  /** Whether it has a bound of time, which a busy machine can break. */
  readonly timely: boolean;
  readonly find: Find;
}

/** Every check of a run. */
export const CHECKS: readonly Check[] = [
  {name: 'at most once', timely: false, find: findDoubled},
  {name: 'true refusals', timely: false, find: findFalseRefusals},
  {name: 'own whole answers', timely: false, find: findForeignAnswers},
  {name: 'events once and in order', timely: false, find: findDisorder},
  {name: 'nothing unasked', timely: false, find: findUnasked},
  {name: 'retry budget', timely: false, find: findExcessRetries},
  {name: 'quota', timely: false, find: findExcessUnits},
  {name: 'counts decided once', timely: false, find: findChangedCounts},
  {name: 'fences never lower', timely: false, find: findLowerFences},
  {name: 'configuration never back', timely: false, find: findStepsBack},
  {
    name: 'no exits of its own',
    timely: false,
    find: history => history.ownExits,
  },
  {name: 'ends in the logs', timely: false, find: findUnlogged},
  {name: 'configuration in time', timely: true, find: findLateChanges},
  {name: 'leaving servers get nothing', timely: true, find: findLateWork},
  {name: 'planned stops lose nothing', timely: true, find: findLosses},
  {name: 'requests that end servers', timely: true, find: findEnding},
  {name: 'limits of servers', timely: true, find: findExcessAtLimits},
  {name: 'recovery', timely: true, find: findNoRecovery},
];

/**
 * Judges a run.
 * @param history - What was seen.
 * @param timely - Whether bounds of time are judged, too.
 */
export function judge(history: History, timely: boolean): Violation[] {
  const violations: Violation[] = [];
  for (const check of CHECKS) {
    if (check.timely && !timely) {
      continue;
    }
    for (const detail of check.find(history)) {
      violations.push({check: check.name, detail});
    }
  }
  return violations;
}
