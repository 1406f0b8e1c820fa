import {ConfigurationView} from './configuration_view.js';
import {Deployment, TargetKind} from './deployment.js';
import {DeploymentV2, toDeployment} from './deployment_schema.js';
import {RecordDocument, RecordKind} from './stored_record.js';

/**
 * Finds references of a deployment to servers, customers, data centres or
 * services that the configuration does not contain.
 * @param document - A valid document of the current schema version; records of
 *   other kinds hold no references.
 * @param view - The configuration that the record would be added to.
 * @returns One line per unknown name, with the names that exist.
 */
export function findUnknownReferences(
  document: RecordDocument,
  view: ConfigurationView,
): string[] {
  if (document.kind !== RecordKind.DEPLOYMENT) {
    return [];
  }
  const deployment = toDeployment(document as unknown as DeploymentV2);
  return [
    ...findUnknown('servers', deployment.servers, [...view.servers.keys()]),
    ...findUnknown('customers', deployment.customers, [
      ...view.customers.keys(),
    ]),
    ...findUnknown('dataCentres', deployment.dataCentres, [
      ...new Set([...view.servers.values()].map(server => server.dataCentre)),
    ]),
    ...findUnknownService(deployment, view),
  ];
}

function findUnknown(
  member: string,
  used: readonly string[],
  known: readonly string[],
): string[] {
  const errors: string[] = [];
  for (const name of used) {
    if (!known.includes(name)) {
      errors.push(
        `${member}: "${name}" does not exist; known: ${known.join(', ') || '(none)'}`,
      );
    }
  }
  return errors;
}

function findUnknownService(
  deployment: Deployment,
  view: ConfigurationView,
): string[] {
  const {target} = deployment;
  if (target.kind !== TargetKind.SERVICE) {
    return [];
  }
  const services = new Set<string>();
  for (const server of view.servers.values()) {
    if (server.service !== '') {
      services.add(server.service);
    }
  }
  return findUnknown('target.service', [target.service], [...services]);
}
