import {LoadedModel} from '../backend/index.js';
import {Deployment, ModelTarget, TargetKind} from '../configuration/index.js';

/** An engine that models can be placed on. */
export interface PlaceableServer {
  readonly name: string;
  readonly dataCentre: string;
  /** What it has loaded, as last reported. */
  readonly models: readonly LoadedModel[];
  /** Whether it takes new work. */
  readonly usable: boolean;
  /** Whether an order to it is under way. */
  readonly busy: boolean;
}

/** A wanted change of what a server has loaded. */
export interface PlacementOrder {
  readonly server: string;
  readonly deployment: string;
  readonly model: string;
  readonly version: string;
  /** Adapter to load; absent to load the model itself. */
  readonly adapter?: string;
  readonly reason: string;
}

/** Limits on what may change at once. */
export interface PlacementLimits {
  /** Loads that the weight store allows to start now. */
  readonly loads: number;
}

/**
 * Decides which orders to give now.
 *
 * Every order is convergent: given twice, it changes nothing the second time.
 * A deployment gets replicas in each of its data centres; a new version
 * replaces the old on one server at a time, and only while the others of that
 * data centre go on serving, so that no capacity is lost at once.
 * @param deployments - All deployments.
 * @param servers - All engines.
 * @param limits - Limits.
 */
export function decidePlacement(
  deployments: Iterable<Deployment>,
  servers: readonly PlaceableServer[],
  limits: PlacementLimits,
): PlacementOrder[] {
  const orders: PlacementOrder[] = [];
  const busy = new Set<string>();
  for (const server of servers) {
    if (server.busy) {
      busy.add(server.name);
    }
  }
  const byUrgency = [...deployments].sort((a, b) => a.urgency - b.urgency);
  for (const deployment of byUrgency) {
    const {target} = deployment;
    if (target.kind !== TargetKind.MODEL) {
      continue;
    }
    for (const group of groupByCentre(deployment, servers)) {
      for (const order of decideCentre(deployment, target, group, busy)) {
        if (orders.length >= limits.loads) {
          return orders;
        }
        busy.add(order.server);
        orders.push(order);
      }
    }
  }
  return orders;
}

/** Decides for the servers of one data centre. */
function decideCentre(
  deployment: Deployment,
  target: ModelTarget,
  group: readonly PlaceableServer[],
  busy: ReadonlySet<string>,
): PlacementOrder[] {
  const usable = group.filter(server => server.usable);
  const serving = usable.filter(server => has(server, target));
  const outdated = usable.filter(
    server => hasModel(server, target) && !has(server, target),
  );
  const missing = serving.find(
    server => findMissingAdapter(server, target) !== undefined,
  );
  if (missing !== undefined && !busy.has(missing.name)) {
    const adapter = findMissingAdapter(missing, target);
    const order = createOrder(missing, deployment, target, 'adapter-missing');
    return adapter === undefined ? [] : [{...order, adapter}];
  }
  const rolling = outdated.some(server => busy.has(server.name));
  const candidate = outdated.find(server => !busy.has(server.name));
  if (candidate !== undefined && !rolling) {
    const left = serving.length + outdated.length - 1;
    // With one server alone there is no way round a gap.
    const keeps = left > 0 || outdated.length + serving.length === 1;
    return keeps
      ? [createOrder(candidate, deployment, target, 'version-rollout')]
      : [];
  }
  const wanted = deployment.replicas - serving.length - outdated.length;
  const free = usable.filter(
    server => !hasModel(server, target) && !busy.has(server.name),
  );
  free.sort((a, b) => a.models.length - b.models.length);
  return free
    .slice(0, Math.max(0, wanted))
    .map(server => createOrder(server, deployment, target, 'replica-missing'));
}

function groupByCentre(
  deployment: Deployment,
  servers: readonly PlaceableServer[],
): PlaceableServer[][] {
  const groups = new Map<string, PlaceableServer[]>();
  for (const server of servers) {
    const placed =
      (deployment.dataCentres.length === 0 ||
        deployment.dataCentres.includes(server.dataCentre)) &&
      (deployment.servers.length === 0 ||
        deployment.servers.includes(server.name));
    if (placed) {
      const group = groups.get(server.dataCentre) ?? [];
      group.push(server);
      groups.set(server.dataCentre, group);
    }
  }
  return [...groups.values()];
}

function hasModel(server: PlaceableServer, target: ModelTarget): boolean {
  return server.models.some(model => model.name === target.model);
}

function has(server: PlaceableServer, target: ModelTarget): boolean {
  return server.models.some(
    model => model.name === target.model && model.version === target.version,
  );
}

function findMissingAdapter(
  server: PlaceableServer,
  target: ModelTarget,
): string | undefined {
  const model = server.models.find(loaded => loaded.name === target.model);
  return target.adapters.find(
    adapter => model?.adapters.includes(adapter) !== true,
  );
}

function createOrder(
  server: PlaceableServer,
  deployment: Deployment,
  target: ModelTarget,
  reason: string,
): PlacementOrder {
  return {
    server: server.name,
    deployment: deployment.name,
    model: target.model,
    version: target.version,
    reason,
  };
}
