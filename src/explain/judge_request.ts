import {ProblemKind} from '../errors/index.js';
import {LogLine} from './log_line.js';
import {RequestHistory} from './request_history.js';

/** What became of a request, and why. */
export interface RequestVerdict {
  readonly id: string;
  readonly host: string;
  /** When the host first logged it, Unix milliseconds. */
  readonly atMs: number;
  readonly route: string;
  readonly customer: string;
  /** Version of the server that it was sent to last; `none` where it was not sent. */
  readonly version: string;
  readonly outcome: 'served' | 'late' | 'refused' | 'failed' | 'unfinished';
  /** Empty where it was served in time. */
  readonly cause: string;
}

const NONE = 'none';
/** Ends of a request that no server ran. */
const REFUSALS: ReadonlySet<string> = new Set([
  ProblemKind.NO_ROOM,
  ProblemKind.DEADLINE_UNREACHABLE,
  ProblemKind.QUARANTINED,
  ProblemKind.SERVICE_LIMITED,
]);

/**
 * Judges a request by its lines: what the host answered, and what was lost.
 * @param history - The request at one host.
 */
export function judgeRequest(history: RequestHistory): RequestVerdict {
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
    const cause = 'no end logged: the host ended, or the log is cut';
    return {...common, outcome: 'unfinished', cause};
  }
  const outcome = end.members.get('outcome') ?? NONE;
  if (outcome !== 'answered') {
    const detail = stripServer(end.members.get('detail') ?? '');
    const cause = detail === '' ? outcome : `${outcome}: ${detail}`;
    const isRefused = REFUSALS.has(outcome);
    return {...common, outcome: isRefused ? 'refused' : 'failed', cause};
  }
  if (Number(end.members.get('late_ms') ?? 0) <= 0) {
    return {...common, outcome: 'served', cause: ''};
  }
  return {...common, outcome: 'late', cause: findDelay(lines)};
}

/** Tells what made an answer late, as far as the host saw it. */
function findDelay(lines: readonly LogLine[]): string {
  const failure = lines.find(({event}) => event === 'attempt_failed');
  if (failure !== undefined) {
    const {members} = failure;
    const detail = stripServer(members.get('detail') ?? '');
    return `asked again after ${members.get('kind') ?? NONE}: ${detail}`;
  }
  if (lines.some(({event}) => event === 'relocated')) {
    return 'moved off a server that left';
  }
  const route = lines.find(({event}) => event === 'route');
  const predictedMs = Number(route?.members.get('predicted_ms') ?? 0);
  const targetMs = Number(route?.members.get('target_ms') ?? Infinity);
  if (predictedMs <= targetMs) {
    return 'slower than predicted';
  }
  return route?.members.has('withheld') === true
    ? 'late by its prediction: limits of other servers used up'
    : 'late by its prediction: servers busy';
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

/** Details begin with the server that failed; causes are counted without it. */
function stripServer(detail: string): string {
  return detail.replace(/^i-\S+: /, '');
}
