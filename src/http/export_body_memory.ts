import {Metrics} from '../metrics/index.js';
import {BodyMemory} from './body_memory.js';

/** Adds the gauges of a host's body memory. */
export function exportBodyMemory(metrics: Metrics, memory: BodyMemory): void {
  metrics.addLabelledGauge(
    'body_bytes',
    'Memory taken by bodies of callers, by whether they were passed on',
    () => [
      [{state: 'receiving'}, memory.getReceivingBytes()],
      [{state: 'kept'}, memory.getKeptBytes()],
    ],
  );
}
