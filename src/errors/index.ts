/** Problems that are reported to callers and operators, and their documents. */
export {Problem, ProblemKind, Ran, Refusal} from './problem.js';
export {toProblemDocument} from './problem_document.js';
export * as problems from './problems.js';
