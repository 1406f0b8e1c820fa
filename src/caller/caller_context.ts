import {Request, Response} from 'express';
import {
  ConfigurationStore,
  ConfigurationView,
  Customer,
  Deployment,
} from '../configuration/index.js';
import {Problem, problems, Refusal} from '../errors/index.js';
import {Log} from '../log/index.js';
import {Metrics} from '../metrics/index.js';
import {Clock} from '../time/index.js';
import {getKeyHash} from './authentication.js';

/** Limits of the callers' interface. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly serviceTimeoutMs: number;
  readonly generationTimeoutMs: number;
  readonly maxTimeoutMs: number;
}

/** What every handler of the callers' interface works with. */
export interface CallerContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationStore;
  readonly limits: CallerLimits;
  /** Makes the id of a request. */
  readonly mintId: () => string;
  /** Returns whether new work is refused, as this host is leaving. */
  readonly isRefusing: () => boolean;
}

/** A request whose sender is known. */
export interface CallerRequest {
  readonly request: Request;
  readonly response: Response;
  readonly customer: Customer;
  readonly view: ConfigurationView;
}

/**
 * Finds out who sends a request.
 * @throws Refusal - When that cannot be told, or this host cannot serve.
 */
export function identify(
  context: CallerContext,
  request: Request,
  response: Response,
): CallerRequest {
  const view = context.configuration.getView();
  if (view.revision === 0) {
    throw new Refusal(problems.configurationMissing());
  }
  const hash = getKeyHash(request.header('authorization'));
  const customer =
    hash === undefined ? undefined : view.customersByKeyHash.get(hash);
  if (customer === undefined) {
    throw new Refusal(problems.unauthenticated());
  }
  return {request, response, customer, view};
}

/**
 * Finds the deployment a customer asks for.
 * @param caller - Who asks.
 * @param name - Name of the deployment.
 * @param kind - What it must serve.
 */
export function findDeployment(
  caller: CallerRequest,
  name: string,
  kind: 'model' | 'service',
): Deployment | Problem {
  const deployment = caller.view.deployments.get(name);
  if (deployment === undefined || deployment.target.kind !== kind) {
    return problems.deploymentUnknown(name, listUsable(caller, kind));
  }
  return mayUse(caller.customer, deployment)
    ? deployment
    : problems.customerNotAllowed(caller.customer.name, name);
}

/** Returns the names of the deployments a customer may use. */
export function listUsable(
  caller: CallerRequest,
  kind: 'model' | 'service',
): string[] {
  const names: string[] = [];
  for (const deployment of caller.view.deployments.values()) {
    if (
      deployment.target.kind === kind &&
      mayUse(caller.customer, deployment)
    ) {
      names.push(deployment.name);
    }
  }
  return names;
}

/** Tells a problem from a deployment. */
export function isProblem(found: Deployment | Problem): found is Problem {
  return 'remedy' in found;
}

function mayUse(customer: Customer, deployment: Deployment): boolean {
  return (
    deployment.customers.length === 0 ||
    deployment.customers.includes(customer.name)
  );
}
