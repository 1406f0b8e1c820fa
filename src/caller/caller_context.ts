import {Request, Response} from 'express';
import {
  ConfigurationStore,
  ConfigurationView,
  Customer,
  Deployment,
} from '../configuration/index.js';
import {Problem, problems, ProblemError} from '../errors/index.js';
import {BodyMemory} from '../http/index.js';
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

/** Dependencies common to all handlers of the callers' interface. */
export interface CallerContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationStore;
  readonly limits: CallerLimits;
  /** Memory for the bodies of requests. */
  readonly bodyMemory: BodyMemory;
  /** Generates a request id. */
  readonly mintId: () => string;
  /** Returns whether new work is refused because this host is leaving. */
  readonly isRefusing: () => boolean;
}

/** A request of an authenticated customer, and the configuration it is served with. */
export interface CallerRequest {
  readonly request: Request;
  readonly response: Response;
  readonly customer: Customer;
  readonly view: ConfigurationView;
}

/**
 * Authenticates a request by its bearer key.
 * @throws ProblemError - When the key is missing or unknown, or this host has no
 *   configuration yet.
 */
export function authenticate(
  context: CallerContext,
  request: Request,
  response: Response,
): CallerRequest {
  const view = context.configuration.getView();
  if (view.revision === 0) {
    throw new ProblemError(problems.configurationMissing());
  }
  const hash = getKeyHash(request.header('authorization'));
  const customer =
    hash === undefined ? undefined : view.customersByKeyHash.get(hash);
  if (customer === undefined) {
    throw new ProblemError(problems.unauthenticated());
  }
  return {request, response, customer, view};
}

/**
 * Finds the deployment that a request names.
 * @param caller - The request.
 * @param name - Name of the deployment.
 * @param kind - Kind of target that the deployment must have.
 * @returns The deployment, or a problem if it does not exist or the customer may
 *   not use it.
 */
export function findDeployment(
  caller: CallerRequest,
  name: string,
  kind: 'model' | 'service',
): Deployment | Problem {
  const deployment = caller.view.deployments.get(name);
  if (deployment === undefined || deployment.target.kind !== kind) {
    return problems.deploymentUnknown(
      name,
      listUsableDeployments(caller, kind),
    );
  }
  return mayUse(caller.customer, deployment)
    ? deployment
    : problems.customerNotAllowed(caller.customer.name, name);
}

/** Returns the names of the deployments of a kind that the customer may use. */
export function listUsableDeployments(
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

/** Returns whether the result of `findDeployment` is a problem. */
export function isProblem(found: Deployment | Problem): found is Problem {
  return 'remedy' in found;
}

function mayUse(customer: Customer, deployment: Deployment): boolean {
  return (
    deployment.customers.length === 0 ||
    deployment.customers.includes(customer.name)
  );
}
