import {ChangeMessages} from '../changes/index.js';
import {Quarantine, SuspectPage} from './quarantine.js';

/** Creates the messages in which hosts exchange suspects. */
export function createSuspectMessages(
  quarantine: Quarantine,
): ChangeMessages<SuspectPage> {
  return new ChangeMessages({
    getVersion: () => quarantine.getVersion(),
    listSince: version => quarantine.listSince(version),
    merge: ({suspects}) => quarantine.merge(suspects),
  });
}
