import {
  findBrokenOffInSilences,
  findEndlessAnswersRead,
  findExcessAttempts,
  findRunsBesideEachOther,
} from './find_broken_off.js';
import {
  findChangedCounts,
  findExcessAtLimits,
  findExcessInBackoffs,
  findExcessRetries,
  findExcessUnits,
  findLowerFences,
} from './find_excess.js';
import {
  findRepeatedCrashingParts,
  findRepeatedCrashingRequests,
  findLateChanges,
  findRequestsCutByStops,
  findRunsLostByStops,
  findIncompleteRecovery,
  findConfigurationRollbacks,
} from './find_late.js';
import {
  findArrivalsAfterStatement,
  findHeldServers,
  findLateArrivals,
} from './find_late_arrivals.js';
import {findUnservedAtPartitions} from './find_unserved.js';
import {
  findDisorderedEvents,
  findMixedVersions,
  findRepeatedRuns,
  findFalseRefusals,
  findMismatchedAnswers,
  findUnsentRequests,
  findUnloggedOutcomes,
} from './find_wrong_answers.js';
import {History} from './history.js';

/** A guarantee that did not hold. */
export interface Violation {
  readonly check: string;
  readonly detail: string;
}

/** Describes each case in which a guarantee did not hold. */
type ViolationFinder = (history: History) => Iterable<string>;

/** A guarantee, checked against what callers, servers, store and cloud observed. */
export interface Check {
  readonly name: string;
  /** Whether it depends on a time bound, which a busy machine can exceed. */
  readonly hasTimeBound: boolean;
  readonly find: ViolationFinder;
}

/** All checks of a run. */
export const CHECKS: readonly Check[] = [
  {name: 'at most once', hasTimeBound: false, find: findRepeatedRuns},
  {name: 'true refusals', hasTimeBound: false, find: findFalseRefusals},
  {name: 'own whole answers', hasTimeBound: false, find: findMismatchedAnswers},
  {
    name: 'events once and in order',
    hasTimeBound: false,
    find: findDisorderedEvents,
  },
  {
    name: 'streams of one version',
    hasTimeBound: false,
    find: findMixedVersions,
  },
  {
    name: 'silence ends no answer',
    hasTimeBound: false,
    find: findBrokenOffInSilences,
  },
  {
    name: 'servers for one request',
    hasTimeBound: false,
    find: findExcessAttempts,
  },
  {name: 'nothing unasked', hasTimeBound: false, find: findUnsentRequests},
  {name: 'retry budget', hasTimeBound: false, find: findExcessRetries},
  {name: 'quota', hasTimeBound: false, find: findExcessUnits},
  {name: 'counts decided once', hasTimeBound: false, find: findChangedCounts},
  {name: 'fences never lower', hasTimeBound: false, find: findLowerFences},
  {
    name: 'configuration never back',
    hasTimeBound: false,
    find: findConfigurationRollbacks,
  },
  {
    name: 'no exits of its own',
    hasTimeBound: false,
    find: history => history.ownExits,
  },
  {name: 'ends in the logs', hasTimeBound: false, find: findUnloggedOutcomes},
  {name: 'configuration in time', hasTimeBound: true, find: findLateChanges},
  {
    name: 'leaving servers get nothing',
    hasTimeBound: true,
    find: findLateArrivals,
  },
  {
    name: 'leaving servers are known through faults in series',
    hasTimeBound: true,
    find: findHeldServers,
  },
  {
    name: 'planned stops lose nothing',
    hasTimeBound: true,
    find: findRequestsCutByStops,
  },
  {
    name: 'planned stops leave no run without an answer',
    hasTimeBound: true,
    find: findRunsLostByStops,
  },
  {
    name: 'requests that end servers',
    hasTimeBound: true,
    find: findRepeatedCrashingRequests,
  },
  {
    name: 'parts that crash servers',
    hasTimeBound: true,
    find: findRepeatedCrashingParts,
  },
  {
    name: 'servers that state that they leave get nothing',
    hasTimeBound: true,
    find: findArrivalsAfterStatement,
  },
  {
    name: 'backoffs of servers',
    hasTimeBound: true,
    find: findExcessInBackoffs,
  },
  {name: 'limits of servers', hasTimeBound: true, find: findExcessAtLimits},
  {
    name: 'partitioned hosts serve',
    hasTimeBound: true,
    find: findUnservedAtPartitions,
  },
  {
    name: 'one run goes on',
    hasTimeBound: true,
    find: findRunsBesideEachOther,
  },
  {
    name: 'bytes without end are not read on',
    hasTimeBound: true,
    find: findEndlessAnswersRead,
  },
  {name: 'recovery', hasTimeBound: true, find: findIncompleteRecovery},
];

/**
 * Checks a run.
 * @param history - What was observed.
 * @param checkTimeBounds - Whether checks that depend on a time bound are included.
 */
export function findViolations(
  history: History,
  checkTimeBounds: boolean,
): Violation[] {
  const violations: Violation[] = [];
  for (const check of CHECKS) {
    if (check.hasTimeBound && !checkTimeBounds) {
      continue;
    }
    for (const detail of check.find(history)) {
      violations.push({check: check.name, detail});
    }
  }
  return violations;
}
