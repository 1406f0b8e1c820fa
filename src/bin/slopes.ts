#!/usr/bin/env node
/** Program: measures the slopes and benches of docs/CAPACITY.md. */
import {formatLine} from '../log/index.js';
import {
  measureDaemon,
  measureLeaving,
  measureLimits,
  measureSlopes,
  measureToday,
} from '../slopes/index.js';

for (const line of [...measureSlopes(), ...measureLimits()]) {
  process.stdout.write(`${formatLine(line)}\n`);
}
for (const count of [10, 72]) {
  process.stdout.write(`${formatLine(measureLeaving(count))}\n`);
}
for (const line of await measureDaemon()) {
  process.stdout.write(`${formatLine(line)}\n`);
}
process.stdout.write(`${formatLine(await measureToday())}\n`);
