/** Problems that are reported to callers and operators, and their documents. */
export {
  Problem,
  ProblemKind,
  ExecutionStatus,
  ProblemError,
} from './problem.js';
export {toProblemDocument} from './problem_document.js';
export * as problems from './problems.js';
