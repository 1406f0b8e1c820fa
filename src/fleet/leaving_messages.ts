import {ChangeMessages} from '../changes/index.js';
import {LeavingPage, LeavingServers} from './leaving_servers.js';

/** Creates the messages in which hosts tell each other which servers leave. */
export function createLeavingMessages(
  leaving: LeavingServers,
): ChangeMessages<LeavingPage> {
  return new ChangeMessages({
    getVersion: () => leaving.getVersion(),
    listSince: version => leaving.listSince(version),
    merge: ({servers}, {host}) => leaving.mergeReported(servers, host),
  });
}
