import {
  Deployment,
  Server,
  ServerKind,
  TargetKind,
} from '../configuration/index.js';
import {LoadReport} from '../backend/index.js';

/** Input of the search for candidate servers. */
export interface CandidateSearch {
  readonly deployment: Deployment;
  /** Requested adapter; empty for none. */
  readonly adapter: string;
  readonly servers: readonly Server[];
  /** Returns whether a server is leaving and takes no new work. */
  readonly isLeaving: (server: string) => boolean;
  /** Returns the last load report of a server, which lists its models. */
  readonly getLoad: (server: string) => LoadReport | undefined;
}

/**
 * Finds the servers that may serve a deployment. Such a server is in one of the
 * deployment's data centres, is one of its named servers (an empty list allows
 * all), is not leaving, and provides the target according to its last load
 * report. An engine without a load report qualifies only if the deployment
 * names it.
 * @param search - Input of the search.
 */
export function findCandidates(search: CandidateSearch): Server[] {
  const {deployment} = search;
  const found: Server[] = [];
  for (const server of search.servers) {
    const isAllowed =
      isAllowedName(deployment.dataCentres, server.dataCentre) &&
      isAllowedName(deployment.servers, server.name);
    if (
      isAllowed &&
      !search.isLeaving(server.name) &&
      hasTarget(search, server)
    ) {
      found.push(server);
    }
  }
  return found;
}

function isAllowedName(names: readonly string[], name: string): boolean {
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
    // No current load report: try the server only if the deployment record
    // names it.
    return search.deployment.servers.includes(server.name);
  }
  return load.models.some(
    model =>
      model.name === target.model &&
      model.version === target.version &&
      (search.adapter === '' || model.adapters.includes(search.adapter)),
  );
}
