import {ResolutionContext} from 'inversify';
import {ConfigurationStore} from '../../configuration/index.js';
import {LeavingHosts} from '../../membership/index.js';

/** Creates the predicate that tells whether a server must get no new work. */
export function createIsLeaving(
  context: ResolutionContext,
): (server: string) => boolean {
  const leavingHosts = context.get(LeavingHosts);
  const store = context.get(ConfigurationStore);
  return server =>
    leavingHosts.isLeaving(server) ||
    store.getView().servers.get(server)?.drained === true;
}
