import {ChangeWords} from '../changes/index.js';
import {LimitPage, ServerLimits} from './server_limits.js';

/** Creates the messages in which hosts exchange the limits that servers state. */
export function createLimitWords(limits: ServerLimits): ChangeWords<LimitPage> {
  return new ChangeWords({
    getVersion: () => limits.getVersion(),
    listSince: version => limits.listSince(version),
    merge: ({limits: reported}, {host}) => limits.mergeReported(reported, host),
  });
}
