import {Metrics} from '../metrics/index.js';

/** Declares the metrics of the daemon, which docs/OPERATIONS.md explains. */
export function createMetrics(): Metrics {
  const metrics = new Metrics();
  metrics.addCounter('generations_total', 'Generations by outcome');
  metrics.addCounter('calls_total', 'Service calls by outcome');
  metrics.addCounter('refusals_total', 'Requests refused, by kind of problem');
  metrics.addHistogram('request_seconds', 'Time to answer, by path');
  metrics.addHistogram(
    'first_token_seconds',
    'Time from dispatch to the first token, by deployment',
  );
  metrics.addHistogram(
    'between_tokens_seconds',
    'Time between tokens, by deployment',
  );
  return metrics;
}
