import {ConfigurationView} from './configuration_view.js';
import {Deployment, TargetKind} from './deployment.js';
import {DeploymentV2, toDeployment} from './deployment_schema.js';
import {RecordDocument, RecordKind} from './stored_record.js';

/**
 * Finds names in a record that stand for nothing in the configuration.
 * @param document - A valid document of the current version.
 * @param view - The configuration it would join.
 * @returns One line per mistake, with the names that would do.
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
    ...findUnservedService(deployment, view),
  ];
}

function findUnknown(
  member: string,
  used: readonly string[],
  known: readonly string[],
): string[] {
  const mistakes: string[] = [];
  for (const name of used) {
    if (!known.includes(name)) {
      mistakes.push(
        `${member}: "${name}" is not known; known: ${known.join(', ') || '(none)'}`,
      );
    }
  }
  return mistakes;
}

function findUnservedService(
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
