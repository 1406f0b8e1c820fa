import {rankByRendezvous} from '../random/index.js';

/** A host that a connection can be opened to. */
export interface LinkCandidate {
  readonly host: string;
  readonly dataCentre: string;
  readonly address: string;
}

/** Up to this number of hosts in total, each host connects to all others. */
const MAX_FULL_MESH_HOSTS = 32;
/**
 * Connections that a host keeps to each other data centre above that number.
 * The hosts of a data centre choose differently, so two data centres have as
 * many links between them as hosts.
 */
const LINKS_PER_REMOTE_DATA_CENTRE = 1;

/**
 * Chooses the peers that a host keeps connections to. In a small cluster these
 * are all hosts. Otherwise they are all hosts of its own data centre, and
 * `LINKS_PER_REMOTE_DATA_CENTRE` of each other data centre, so that the number
 * of remote connections grows with the data centres and not with the hosts.
 * @param self - This host.
 * @param candidates - All other hosts.
 */
export function chooseLinks(
  self: {readonly host: string; readonly dataCentre: string},
  candidates: readonly LinkCandidate[],
): LinkCandidate[] {
  if (candidates.length < MAX_FULL_MESH_HOSTS) {
    return [...candidates];
  }
  const byDataCentre = new Map<string, LinkCandidate[]>();
  for (const candidate of candidates) {
    const group = byDataCentre.get(candidate.dataCentre) ?? [];
    group.push(candidate);
    byDataCentre.set(candidate.dataCentre, group);
  }
  const chosen: LinkCandidate[] = [];
  for (const [dataCentre, group] of byDataCentre) {
    if (dataCentre === self.dataCentre) {
      chosen.push(...group);
      continue;
    }
    const names = group.map(candidate => candidate.host);
    const best = rankByRendezvous(self.host, names).slice(
      0,
      LINKS_PER_REMOTE_DATA_CENTRE,
    );
    chosen.push(...group.filter(candidate => best.includes(candidate.host)));
  }
  return chosen;
}
