import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** What is collected: objects that were created recently, or all. */
export const Garbage = {YOUNG: 'young', ALL: 'all'} as const;
export type Garbage = (typeof Garbage)[keyof typeof Garbage];

/** Collects all garbage; with options, young garbage. V8 11 knows no other type. */
type Collect = (options?: {readonly type: 'minor'}) => void;

let collect: Collect | undefined;

/**
 * Collects garbage now. V8 lets buffers that nothing refers to take 64 MB before it collects
 * them, which is more than a small host has left. Young garbage takes less than a millisecond,
 * all of it about one millisecond for each MB of heap.
 */
export function collectGarbage(type: Garbage): void {
  collect ??= exposeCollector();
  if (type === Garbage.YOUNG) {
    collect({type: 'minor'});
  } else {
    collect();
  }
}

function exposeCollector(): Collect {
  setFlagsFromString('--expose-gc');
  const exposed = runInNewContext('gc') as Collect;
  setFlagsFromString('--no-expose-gc');
  return exposed;
}
