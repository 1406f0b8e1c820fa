import {CallOrder} from './call_order.js';
import {Entry} from './entry.js';

/** Splits an entry key into customer and Idempotency-Key. */
export function splitEntryKey(entryKey: string): [string, string] {
  const slash = entryKey.indexOf('/');
  return [entryKey.slice(0, slash), entryKey.slice(slash + 1)];
}

/**
 * Rebuilds the order of an accepted call from its entry.
 * @param entry - The entry.
 * @param deadlineMs - Time until which the call is attempted, in monotonic ms.
 */
export function createRecordedOrder(entry: Entry, deadlineMs: number): CallOrder {
  const [customer, key] = splitEntryKey(entry.key);
  return {
    entryKey: entry.key,
    requestId: entry.requestId,
    customer,
    deployment: entry.deployment,
    fingerprint: entry.fingerprint,
    call: {
      requestId: entry.requestId,
      method: entry.call?.method ?? 'POST',
      path: entry.call?.path ?? '/',
      contentType: entry.call?.contentType ?? '',
      body: Buffer.from(entry.call?.bodyBase64 ?? '', 'base64'),
      key,
    },
    deadlineMs,
    respondAsync: true,
    instance: entry.requestId,
    copy: 0,
  };
}
