import {TableService} from '../table/index.js';
import {Gate} from './gate.js';

/**
 * Creates the access of a simulated process to a table, which is held up while the process
 * is frozen.
 * @param gate - Gate of the process.
 * @param table - The table.
 */
export function createGatedTable(
  gate: Gate,
  table: TableService,
): TableService {
  return {
    getEra: () => table.getEra(),
    get: key => gate.call(() => table.get(key)),
    list: prefix => gate.call(() => table.list(prefix)),
    transact: steps => gate.call(() => table.transact(steps)),
  };
}
