import {IncompleteAnswer, IncompleteReason} from './incomplete_answer.js';

/**
 * Checks whether a server continues a stream after its last event. Ids of events increase;
 * a server that ignores the id it was sent starts over.
 * @param lastId - Id of the last event that was relayed.
 * @param firstId - Id of the first event of the server that continues.
 * @returns Why it does not continue it; `undefined` if it does, or if an id is no number.
 */
export function checkContinuation(
  lastId: string,
  firstId: string,
): IncompleteAnswer | undefined {
  return Number(firstId) <= Number(lastId)
    ? new IncompleteAnswer(
        IncompleteReason.REPEATED_EVENT,
        `stream continues with event ${firstId} after event ${lastId}`,
      )
    : undefined;
}
