import {ProblemKind} from '../errors/index.js';
import {LogLine} from './log_line.js';
import {RequestHistory} from './request_history.js';

/** Outcome of a request at one host, and its cause. */
export interface ClassifiedRequest {
  readonly id: string;
  readonly host: string;
  /** Time of its first log line, in Unix milliseconds. */
  readonly atMs: number;
  readonly route: string;
  readonly customer: string;
  /** Version of the server it was last sent to; `none` if it was not sent. */
  readonly version: string;
  readonly outcome: 'served' | 'late' | 'refused' | 'failed' | 'unfinished';
  /** Why it was not served in time; empty if it was. */
  readonly cause: string;
}

const NONE = 'none';
/** Logged outcomes of requests that were refused, so that no server ran them. */
const REFUSALS: ReadonlySet<string> = new Set([
  ProblemKind.NO_ROOM,
  ProblemKind.DEADLINE_UNREACHABLE,
  ProblemKind.QUARANTINED,
  ProblemKind.SERVICE_BACKING_OFF,
  ProblemKind.SERVICE_LIMITED,
]);

/**
 * Determines the outcome of a request, and its cause, from its log lines.
 * @param history - Lines that one host logged about the request.
 */
export function classifyRequest(history: RequestHistory): ClassifiedRequest {
  const {id, host, lines} = history;
  const common = {
    id,
    host,
    atMs: lines[0]?.atMs ?? 0,
    route: findMember(lines, 'route'),
    customer: findMember(lines, 'customer'),
    version: findMember([...lines].reverse(), 'version'),
  };
  const refusal = lines.find(({event}) => event === 'refused');
  if (refusal !== undefined) {
    const cause = refusal.members.get('reason') ?? NONE;
    return {...common, outcome: 'refused', cause};
  }
  const end = lines.find(({event}) => event === 'relayed');
  if (end === undefined) {
    const cause =
      'no outcome logged: the host terminated, or the log is incomplete';
    return {...common, outcome: 'unfinished', cause};
  }
  const outcome = end.members.get('outcome') ?? NONE;
  if (outcome !== 'answered') {
    const detail = findIncompleteReason(lines, outcome) ?? getDetail(end);
    const cause = detail === '' ? outcome : `${outcome}: ${detail}`;
    const isRefused = REFUSALS.has(outcome);
    return {...common, outcome: isRefused ? 'refused' : 'failed', cause};
  }
  if (Number(end.members.get('late_ms') ?? 0) <= 0) {
    return {...common, outcome: 'served', cause: ''};
  }
  return {...common, outcome: 'late', cause: findDelayCause(lines)};
}

/** Outcomes of requests whose last server may have broken off its answer. */
const SERVER_BREAKS: ReadonlySet<string> = new Set([
  'broken-off',
  ProblemKind.SERVER_FAILED,
]);

/**
 * Returns why the last answer was not complete; `undefined` if no server broke it off, or
 * the request ended for another reason, such as its deadline.
 */
function findIncompleteReason(
  lines: readonly LogLine[],
  outcome: string,
): string | undefined {
  if (!SERVER_BREAKS.has(outcome)) {
    return undefined;
  }
  const failures = lines.filter(({event}) => event === 'attempt_failed');
  return failures.at(-1)?.members.get('reason');
}

function getDetail({members}: LogLine): string {
  return stripServer(members.get('detail') ?? '');
}

/** Returns why a response was late, as far as the host logged it. */
function findDelayCause(lines: readonly LogLine[]): string {
  const failure = lines.find(({event}) => event === 'attempt_failed');
  if (failure !== undefined) {
    const {members} = failure;
    const detail = members.get('reason') ?? getDetail(failure);
    return `retried after ${members.get('kind') ?? NONE}: ${detail}`;
  }
  if (lines.some(({event}) => event === 'relocated')) {
    return 'moved off a server that was leaving';
  }
  const route = lines.find(({event}) => event === 'route');
  const predictedMs = Number(route?.members.get('predicted_ms') ?? 0);
  const targetMs = Number(route?.members.get('target_ms') ?? Infinity);
  if (predictedMs <= targetMs) {
    return 'slower than predicted';
  }
  if (route?.members.has('backing_off') === true) {
    return 'predicted to miss the target: other servers asked for a time without requests';
  }
  return route?.members.has('withheld') === true
    ? 'predicted to miss the target: limits of other servers used up'
    : 'predicted to miss the target: servers busy';
}

function findMember(lines: readonly LogLine[], key: string): string {
  for (const {members} of lines) {
    const value = members.get(key);
    if (value !== undefined) {
      return value;
    }
  }
  return NONE;
}

/** Removes the name of the failed server, so that equal causes are counted together. */
function stripServer(detail: string): string {
  return detail.replace(/^i-\S+: /, '');
}
