import {decideAdmission, UsageCounter} from '../admission/index.js';
import {ConfigurationView, Deployment} from '../configuration/index.js';
import {Problem, problems} from '../errors/index.js';
import {Generation, GenerationRunner} from '../generation/index.js';
import {Log} from '../log/index.js';
import {Random} from '../random/index.js';
import {Clock} from '../time/index.js';

/** What the admission of generations works with. */
export interface GenerationAdmissionOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly random: Random;
  readonly runner: GenerationRunner;
  readonly usage: UsageCounter;
  /** Returns how many generations the servers of a deployment can decode. */
  readonly getCapacity: (deployment: string) => number;
}

const NONE: ReadonlySet<string> = new Set();

/** Admits generations, or says why not. */
export class GenerationAdmission {
  constructor(private readonly options: GenerationAdmissionOptions) {}

  /**
   * Decides on a generation, from what the best server would make of it.
   * @param view - Configuration in force.
   * @param deployment - Deployment it asks for.
   * @param generation - The generation; nothing has been sent for it.
   * @returns Why it is refused, or `undefined` to admit it.
   */
  decide(
    view: ConfigurationView,
    deployment: Deployment,
    generation: Generation,
  ): Problem | undefined {
    const {request} = generation;
    const {chosen} = this.options.runner.choose(generation, NONE);
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
