import {rankByRendezvous} from '../random/index.js';

/** A host that could be linked to. */
export interface LinkCandidate {
  readonly host: string;
  readonly dataCentre: string;
  readonly address: string;
}

/** Up to this many hosts in all, everyone is linked with everyone. */
const FULL_MESH_HOSTS = 32;
/**
 * Links to each other data centre beyond that. The hosts of a data centre
 * choose differently, so two data centres have as many links as hosts.
 */
const LINKS_PER_CENTRE = 1;

/**
 * Chooses the peers a host keeps a connection to: all of its own data centre,
 * and a few of each other one, so that the number grows with the data centres
 * and not with the hosts.
 * @param self - This host.
 * @param candidates - The others.
 */
export function chooseLinks(
  self: {readonly host: string; readonly dataCentre: string},
  candidates: readonly LinkCandidate[],
): LinkCandidate[] {
  if (candidates.length < FULL_MESH_HOSTS) {
    return [...candidates];
  }
  const byCentre = new Map<string, LinkCandidate[]>();
  for (const candidate of candidates) {
    const centre = byCentre.get(candidate.dataCentre) ?? [];
    centre.push(candidate);
    byCentre.set(candidate.dataCentre, centre);
  }
  const chosen: LinkCandidate[] = [];
  for (const [dataCentre, centre] of byCentre) {
    if (dataCentre === self.dataCentre) {
      chosen.push(...centre);
      continue;
    }
    const names = centre.map(candidate => candidate.host);
    const best = rankByRendezvous(self.host, names).slice(0, LINKS_PER_CENTRE);
    chosen.push(...centre.filter(candidate => best.includes(candidate.host)));
  }
  return chosen;
}
