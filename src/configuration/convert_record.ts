/** Conversion between schema versions, both ways, with nothing lost. */
import {CustomerV1, CustomerV2} from './customer_schema.js';
import {
  DeploymentV1,
  DeploymentV2,
  PRIORITY_URGENCY,
} from './deployment_schema.js';
import {TargetKind} from './deployment.js';

/** Raises a deployment to version 2; its `extensions` become members again. */
export function raiseDeployment(document: DeploymentV1): unknown {
  const {
    model,
    adapters,
    service,
    repeat,
    priority,
    extensions = {},
    ...common
  } = document;
  const {target: keptTarget, urgency, ...kept} = extensions;
  const target =
    service === undefined
      ? {kind: TargetKind.MODEL, ...splitModel(model), adapters}
      : {kind: TargetKind.SERVICE, service, repeat};
  return {
    ...common,
    ...kept,
    schemaVersion: 2,
    target: {...(keptTarget as object | undefined), ...target},
    urgency: restoreUrgency(priority, urgency),
  };
}

/** Lowers a deployment to version 1; what it cannot say goes to `extensions`. */
export function lowerDeployment(document: DeploymentV2): unknown {
  const {target, urgency, latencyTarget, weights, replicas, ...common} =
    document;
  const {kind: _kind, ...targetMembers} = target;
  const flat =
    target.kind === TargetKind.MODEL
      ? {model: `${target.model}@${target.version}`, adapters: target.adapters}
      : {service: target.service, repeat: target.repeat};
  return {
    ...common,
    ...flat,
    schemaVersion: 1,
    priority: nameUrgency(urgency),
    extensions: {
      target: targetMembers,
      urgency,
      latencyTarget,
      weights,
      replicas,
    },
  };
}

/** Raises a customer to version 2. */
export function raiseCustomer(document: CustomerV1): unknown {
  const {share, extensions = {}, ...common} = document;
  const {weight, ...kept} = extensions;
  const unchanged = typeof weight === 'number' && toShare(weight) === share;
  return {
    ...common,
    ...kept,
    schemaVersion: 2,
    weight: unchanged ? weight : share,
  };
}

/** Lowers a customer to version 1. */
export function lowerCustomer(document: CustomerV2): unknown {
  const {weight, mostUrgent, ...common} = document;
  return {
    ...common,
    schemaVersion: 1,
    share: toShare(weight),
    extensions: {weight, mostUrgent},
  };
}

function splitModel(text = ''): {model: string; version: string} {
  const [model = '', version = ''] = text.split('@');
  return {model, version};
}

function toShare(weight: number): number {
  return Math.max(1, Math.round(weight));
}

function nameUrgency(urgency: number): keyof typeof PRIORITY_URGENCY {
  if (urgency < PRIORITY_URGENCY.normal) {
    return 'high';
  }
  return urgency < PRIORITY_URGENCY.low ? 'normal' : 'low';
}

/** Keeps the exact urgency unless the named priority was changed since. */
function restoreUrgency(
  priority: keyof typeof PRIORITY_URGENCY,
  urgency: unknown,
): number {
  if (typeof urgency === 'number' && nameUrgency(urgency) === priority) {
    return urgency;
  }
  return PRIORITY_URGENCY[priority];
}
