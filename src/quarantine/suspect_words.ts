import {ChangeWords} from '../changes/index.js';
import {Quarantine, SuspectPage} from './quarantine.js';

/** Makes the words by which hosts tell each other of requests that end servers. */
export function createSuspectWords(
  quarantine: Quarantine,
): ChangeWords<SuspectPage> {
  return new ChangeWords({
    getVersion: () => quarantine.getVersion(),
    listSince: version => quarantine.listSince(version),
    merge: ({suspects}) => quarantine.merge(suspects),
  });
}
