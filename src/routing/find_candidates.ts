import {
  Deployment,
  Server,
  ServerKind,
  TargetKind,
} from '../configuration/index.js';
import {LoadReport} from '../backend/index.js';

/** What the search for candidates depends on. */
export interface CandidateSearch {
  readonly deployment: Deployment;
  /** Adapter asked for; empty for none. */
  readonly adapter: string;
  readonly servers: readonly Server[];
  /** Returns whether a server is leaving and takes no new work. */
  readonly isLeaving: (server: string) => boolean;
  /** Returns the last load of a server, which names its models. */
  readonly getLoad: (server: string) => LoadReport | undefined;
}

/**
 * Finds the servers that may serve a deployment: in its data centres, among its
 * named servers, not leaving, and with its target loaded as far as is known.
 * @param search - What to search in.
 */
export function findCandidates(search: CandidateSearch): Server[] {
  const {deployment} = search;
  const found: Server[] = [];
  for (const server of search.servers) {
    const placed =
      isNamed(deployment.dataCentres, server.dataCentre) &&
      isNamed(deployment.servers, server.name);
    if (placed && !search.isLeaving(server.name) && hasTarget(search, server)) {
      found.push(server);
    }
  }
  return found;
}

function isNamed(names: readonly string[], name: string): boolean {
  return names.length === 0 || names.includes(name);
}

function hasTarget(search: CandidateSearch, server: Server): boolean {
  const {target} = search.deployment;
  if (target.kind === TargetKind.SERVICE) {
    return server.service === target.service;
  }
  if (server.kind !== ServerKind.ENGINE) {
    return false;
  }
  const load = search.getLoad(server.name);
  if (load === undefined) {
    // Not heard yet: try it only where the record names it.
    return search.deployment.servers.includes(server.name);
  }
  return load.models.some(
    model =>
      model.name === target.model &&
      model.version === target.version &&
      (search.adapter === '' || model.adapters.includes(search.adapter)),
  );
}
