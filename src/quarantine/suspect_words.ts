import {ChangeWords} from '../changes/index.js';
import {Quarantine, SuspectPage} from './quarantine.js';

/** Creates the messages in which hosts exchange suspects. */
export function createSuspectWords(
  quarantine: Quarantine,
): ChangeWords<SuspectPage> {
  return new ChangeWords({
    getVersion: () => quarantine.getVersion(),
    listSince: version => quarantine.listSince(version),
    merge: ({suspects}) => quarantine.merge(suspects),
  });
}
