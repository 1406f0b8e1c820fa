import {readLevel, ServerTermination, Suspect} from './suspect.js';
import {isPart, isSender} from './suspicion_rule.js';
import {getTerminationAddress} from './termination_name.js';
import {getTerminationOfSender} from './sender_termination.js';

/** Factor for the required terminations if all are at one address. */
const SINGLE_ADDRESS_FACTOR = 2;

/**
 * The suspects that are to blame, by name. Each comes with the parts that were lost with exactly
 * the same servers, itself included: one of them is the cause, so that only requests with all of
 * them are blocked, and an answer to one with some of them tells which.
 */
export type BlamedSuspects = ReadonlyMap<string, readonly string[]>;

/**
 * Returns the suspects that are to blame. A termination counts against one suspect only, since
 * the other requests that ran at the server, their parts and their senders are bystanders: the
 * suspect with the most terminations that nothing else explains is blamed first, of several a
 * single request before a part of its prompt, and senders last.
 * @param suspects - All suspects by name.
 */
export function judgeSuspects(
  suspects: ReadonlyMap<string, Suspect>,
): BlamedSuspects {
  const blamed = new Map<string, readonly string[]>();
  const explained = new Set<string>();
  const ranked = rank(suspects);
  for (const [name, suspect] of ranked) {
    const ends = isSender(name)
      ? groupByContent(suspect, explained)
      : omitExplained(suspect, explained);
    if (blamed.has(name) || !isToBlame(suspect, ends)) {
      continue;
    }
    const group = isPart(name) ? listInseparable(suspect, ranked) : [name];
    for (const member of group) {
      blamed.set(member, group);
    }
    for (const end of isSender(name) ? [] : suspect.ends.keys()) {
      explained.add(end);
    }
  }
  return blamed;
}

/** Lists the parts that were lost with exactly the same servers. */
function listInseparable(
  {ends}: Suspect,
  ranked: readonly (readonly [string, Suspect])[],
): string[] {
  return ranked
    .filter(
      ([name, other]) =>
        isPart(name) &&
        other.ends.size === ends.size &&
        [...other.ends.keys()].every(end => ends.has(end)),
    )
    .map(([name]) => name);
}

/** Lists the suspects with enough terminations in the order in which they are blamed. */
function rank(
  suspects: ReadonlyMap<string, Suspect>,
): (readonly [string, Suspect])[] {
  return [...suspects]
    .filter(([, suspect]) => isToBlame(suspect, suspect.ends))
    .sort(
      ([name, {ends}], [otherName, {ends: otherEnds}]) =>
        Number(isSender(name)) - Number(isSender(otherName)) ||
        otherEnds.size - ends.size ||
        Number(isPart(name)) - Number(isPart(otherName)),
    );
}

function omitExplained(
  {ends}: Suspect,
  explained: ReadonlySet<string>,
): ReadonlyMap<string, ServerTermination> {
  return new Map([...ends].filter(([end]) => !explained.has(end)));
}

/** Returns one termination that nothing explains of each content of a sender. */
function groupByContent(
  {ends}: Suspect,
  explained: ReadonlySet<string>,
): ReadonlyMap<string, ServerTermination> {
  const byContent = new Map<string, ServerTermination>();
  for (const [name, end] of ends) {
    const {content, termination} = getTerminationOfSender(name);
    const level = byContent.get(content)?.level ?? 0;
    if (!explained.has(termination) && end.level > level) {
      byContent.set(content, end);
    }
  }
  return byContent;
}

function isToBlame(
  {rule, clearedLevel}: Suspect,
  ends: ReadonlyMap<string, ServerTermination>,
): boolean {
  const addresses = new Set([...ends.keys()].map(getTerminationAddress));
  // One server that terminates repeatedly proves less than several that terminate.
  const minTerminations =
    addresses.size > 1 ? rule.ends : rule.ends * SINGLE_ADDRESS_FACTOR;
  const steps = readLevel({clearedLevel, ends}) - clearedLevel;
  return ends.size >= minTerminations && steps >= rule.levels;
}
