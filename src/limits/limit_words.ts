import {ChangeWords} from '../changes/index.js';
import {LimitPage, ServerLimits} from './server_limits.js';

/** Makes the words by which hosts tell each other of limits that servers name. */
export function createLimitWords(limits: ServerLimits): ChangeWords<LimitPage> {
  return new ChangeWords({
    getVersion: () => limits.getVersion(),
    listSince: version => limits.listSince(version),
    merge: ({limits: told}, {host}) => limits.addTold(told, host),
  });
}
