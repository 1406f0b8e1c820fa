import {ChangeMessages} from '../changes/index.js';
import {LimitPage, ServerLimits} from './server_limits.js';

/** Creates the messages in which hosts exchange the limits that servers state. */
export function createLimitMessages(
  limits: ServerLimits,
): ChangeMessages<LimitPage> {
  return new ChangeMessages({
    getVersion: () => limits.getVersion(),
    listSince: version => limits.listSince(version),
    merge: ({limits: reported}, {host}) => limits.mergeReported(reported, host),
  });
}
