/** Placement: which models, adapters and versions run on which engines. */
export {decidePlacement} from './decide_placement.js';
export type {
  PlaceableServer,
  PlacementLimits,
  PlacementOrder,
} from './decide_placement.js';
export {Placer} from './placer.js';
export type {PlacerOptions} from './placer.js';
