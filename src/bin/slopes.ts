#!/usr/bin/env node
/** Program: runs the measurements for docs/CAPACITY.md and prints one line for each. */
import {formatLine} from '../log/index.js';
import {
  measureDaemon,
  measureEventSplitter,
  measureLeaving,
  measureLimits,
  measureServerModel,
  measureSlopes,
  measureTransfer,
  measureIdleAtCurrentSize,
} from '../slopes/index.js';

for (const line of [
  ...measureSlopes(),
  ...measureLimits(),
  ...measureEventSplitter(),
  ...measureServerModel(),
]) {
  process.stdout.write(`${formatLine(line)}\n`);
}
for (const count of [10, 72]) {
  process.stdout.write(`${formatLine(measureLeaving(count))}\n`);
}
for (const line of await measureTransfer()) {
  process.stdout.write(`${formatLine(line)}\n`);
}
for (const line of await measureDaemon()) {
  process.stdout.write(`${formatLine(line)}\n`);
}
process.stdout.write(`${formatLine(await measureIdleAtCurrentSize())}\n`);
