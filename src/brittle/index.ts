/** Services whose servers are brittle, and the part of their slots that a host uses. */
export {BrittleServices} from './brittle_services.js';
export type {
  BrittleAnswer,
  BrittleServicesOptions,
  SlotRequest,
} from './brittle_services.js';
export type {BrittleStatement} from './brittle_statement.js';
export {countOwnSlots} from './count_own_slots.js';
export type {SlotServer} from './count_own_slots.js';
