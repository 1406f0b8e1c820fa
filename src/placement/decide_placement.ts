import {LoadedModel} from '../backend/index.js';
import {Deployment, ModelTarget, TargetKind} from '../configuration/index.js';

/** An engine on which models can be placed. */
export interface PlaceableServer {
  readonly name: string;
  readonly dataCentre: string;
  /** Models it has loaded, as last reported. */
  readonly models: readonly LoadedModel[];
  /** Whether it takes new work. */
  readonly usable: boolean;
  /** Whether an order to it is in flight. */
  readonly busy: boolean;
}

/** An order to a server to load a model or an adapter. */
export interface PlacementOrder {
  readonly server: string;
  readonly deployment: string;
  readonly model: string;
  readonly version: string;
  /** Adapter to load; absent to load the model itself. */
  readonly adapter?: string;
  readonly reason: string;
}

/** Limits on concurrent changes. */
export interface PlacementLimits {
  /** Number of loads that the weight store allows to start now. */
  readonly loads: number;
}

/**
 * Decides which orders to send now.
 *
 * Every order is idempotent: sent twice, it changes nothing the second time. A
 * deployment gets replicas in each of its data centres. A new version replaces
 * the old one on one server per data centre at a time, while the other servers
 * of that data centre continue to serve, so that the capacity is not lost all
 * at once. A data centre's only server is updated despite the interruption.
 * @param deployments - All deployments; the most urgent ones get their orders
 *   first.
 * @param servers - All engines.
 * @param limits - Limits on concurrent changes.
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
    for (const group of groupByDataCentre(deployment, servers)) {
      for (const order of decideForDataCentre(
        deployment,
        target,
        group,
        busy,
      )) {
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

/** Decides on the orders to the servers of one data centre. */
function decideForDataCentre(
  deployment: Deployment,
  target: ModelTarget,
  group: readonly PlaceableServer[],
  busy: ReadonlySet<string>,
): PlacementOrder[] {
  const usable = group.filter(server => server.usable);
  const serving = usable.filter(server => hasVersion(server, target));
  const outdated = usable.filter(
    server => hasModel(server, target) && !hasVersion(server, target),
  );
  const incomplete = serving.find(
    server => findMissingAdapter(server, target) !== undefined,
  );
  if (incomplete !== undefined && !busy.has(incomplete.name)) {
    const adapter = findMissingAdapter(incomplete, target);
    const order = createOrder(
      incomplete,
      deployment,
      target,
      'adapter-missing',
    );
    return adapter === undefined ? [] : [{...order, adapter}];
  }
  const missingReplicas =
    deployment.replicas - serving.length - outdated.length;
  const others = usable.filter(server => !hasModel(server, target));
  const isRollingOut = outdated.some(server => busy.has(server.name));
  const candidate = outdated.find(server => !busy.has(server.name));
  if (candidate !== undefined && !isRollingOut) {
    const remaining = serving.length + outdated.length - 1;
    // The last one that serves waits for the missing replicas. Without any to come, an
    // interruption cannot be avoided.
    const keepsServing =
      remaining > 0 || missingReplicas <= 0 || others.length === 0;
    if (keepsServing) {
      return [createOrder(candidate, deployment, target, 'version-rollout')];
    }
  }
  const available = others.filter(server => !busy.has(server.name));
  available.sort((a, b) => a.models.length - b.models.length);
  return available
    .slice(0, Math.max(0, missingReplicas))
    .map(server => createOrder(server, deployment, target, 'replica-missing'));
}

function groupByDataCentre(
  deployment: Deployment,
  servers: readonly PlaceableServer[],
): PlaceableServer[][] {
  const groups = new Map<string, PlaceableServer[]>();
  for (const server of servers) {
    const isAllowed =
      (deployment.dataCentres.length === 0 ||
        deployment.dataCentres.includes(server.dataCentre)) &&
      (deployment.servers.length === 0 ||
        deployment.servers.includes(server.name));
    if (isAllowed) {
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

function hasVersion(server: PlaceableServer, target: ModelTarget): boolean {
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
