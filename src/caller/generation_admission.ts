import {decideAdmission, UsageCounter} from '../admission/index.js';
import {ConfigurationView, Deployment} from '../configuration/index.js';
import {Problem, problems} from '../errors/index.js';
import {Generation, GenerationRunner} from '../generation/index.js';
import {Log} from '../log/index.js';
import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';

/** Dependencies of the admission of generations. */
export interface GenerationAdmissionOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly runner: GenerationRunner;
  readonly usage: UsageCounter;
  /** Returns how many generations the servers of a deployment can decode at once. */
  readonly getCapacity: (deployment: string) => number;
}

const NO_SERVERS: ReadonlySet<string> = new Set();

/** Decides which generations are admitted. */
export class GenerationAdmission {
  constructor(private readonly options: GenerationAdmissionOptions) {}

  /**
   * Decides whether to admit a generation, from its customer's share and the time to
   * the first token that is predicted for the best server. Such a refusal is logged;
   * one because no server is available is not.
   * @param view - Configuration in force.
   * @param deployment - Deployment that the generation requests.
   * @param generation - The generation; not yet sent to any server.
   * @returns Why it is refused, or `undefined` if it is admitted.
   */
  decide(
    view: ConfigurationView,
    deployment: Deployment,
    generation: Generation,
  ): Problem | undefined {
    const {request} = generation;
    const {chosen} = this.options.runner.choose(generation, NO_SERVERS);
    if (chosen === undefined) {
      return problems.noServer(deployment.name);
    }
    const refusal = decideAdmission(
      {
        customer: request.customer,
        customers: view.customers,
        usage: this.options.usage.listAll(),
        capacity: this.options.getCapacity(deployment.name),
        firstTokenMs: chosen.firstTokenMs,
        targetMs: deployment.latencyTarget.firstTokenMs,
        remainingMs: request.deadlineMs - this.options.clock.monotonicMs(),
        urgency: request.urgency,
      },
      this.options.random,
    );
    if (refusal !== undefined) {
      this.options.log.info('refused', {
        request: request.id,
        customer: request.customer,
        deployment: deployment.name,
        reason: refusal.kind,
        predicted_ms: Math.round(chosen.firstTokenMs),
        retry_after_s: refusal.retryAfterSeconds,
      });
    }
    return refusal;
  }
}
