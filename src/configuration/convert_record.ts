/** Lossless conversion of records between schema versions, in both directions. */
import {CustomerV1, CustomerV2} from './customer_schema.js';
import {
  DeploymentV1,
  DeploymentV2,
  PRIORITY_URGENCY,
} from './deployment_schema.js';
import {TargetKind} from './deployment.js';

/**
 * Converts a deployment from version 1 to 2. Members in `extensions` become
 * members of the document again; changes made in version 1 take precedence.
 */
export function upgradeDeployment(document: DeploymentV1): unknown {
  const {
    model,
    adapters,
    service,
    repeat,
    priority,
    extensions = {},
    ...common
  } = document;
  const {target: extensionTarget, urgency, ...otherExtensions} = extensions;
  const target =
    service === undefined
      ? {kind: TargetKind.MODEL, ...splitModelReference(model), adapters}
      : {kind: TargetKind.SERVICE, service, repeat};
  return {
    ...common,
    ...otherExtensions,
    schemaVersion: 2,
    target: {...(extensionTarget as object | undefined), ...target},
    urgency: restoreUrgency(priority, urgency),
  };
}

/**
 * Converts a deployment from version 2 to 1. Members that version 1 does not
 * have are put into `extensions`.
 */
export function downgradeDeployment(document: DeploymentV2): unknown {
  const {target, urgency, latencyTarget, weights, replicas, ...common} =
    document;
  const {kind: _kind, ...targetMembers} = target;
  const flatMembers =
    target.kind === TargetKind.MODEL
      ? {model: `${target.model}@${target.version}`, adapters: target.adapters}
      : {service: target.service, repeat: target.repeat};
  return {
    ...common,
    ...flatMembers,
    schemaVersion: 1,
    priority: toPriority(urgency),
    extensions: {
      target: targetMembers,
      urgency,
      latencyTarget,
      weights,
      replicas,
    },
  };
}

/**
 * Converts a customer from version 1 to 2. The exact weight in `extensions` is
 * restored, unless the rounded `share` was changed.
 */
export function upgradeCustomer(document: CustomerV1): unknown {
  const {share, extensions = {}, ...common} = document;
  const {weight, ...otherExtensions} = extensions;
  const unchanged = typeof weight === 'number' && toShare(weight) === share;
  return {
    ...common,
    ...otherExtensions,
    schemaVersion: 2,
    weight: unchanged ? weight : share,
  };
}

/** Converts a customer from version 2 to 1, with the weight rounded to a `share`. */
export function downgradeCustomer(document: CustomerV2): unknown {
  const {weight, mostUrgent, ...common} = document;
  return {
    ...common,
    schemaVersion: 1,
    share: toShare(weight),
    extensions: {weight, mostUrgent},
  };
}

function splitModelReference(text = ''): {model: string; version: string} {
  const [model = '', version = ''] = text.split('@');
  return {model, version};
}

function toShare(weight: number): number {
  return Math.max(1, Math.round(weight));
}

function toPriority(urgency: number): keyof typeof PRIORITY_URGENCY {
  if (urgency < PRIORITY_URGENCY.normal) {
    return 'high';
  }
  return urgency < PRIORITY_URGENCY.low ? 'normal' : 'low';
}

/** Returns the exact urgency of `extensions`, unless the named priority was changed. */
function restoreUrgency(
  priority: keyof typeof PRIORITY_URGENCY,
  urgency: unknown,
): number {
  if (typeof urgency === 'number' && toPriority(urgency) === priority) {
    return urgency;
  }
  return PRIORITY_URGENCY[priority];
}
