/** Retry budget: how many retries of a service all hosts together may send. */
export {SharedRetryBudget} from './shared_retry_budget.js';
export type {SharedRetryBudgetOptions} from './shared_retry_budget.js';
export type {RetryBudgetState} from './retry_budget_state.js';
export type {RetryLimit} from './retry_limit.js';
