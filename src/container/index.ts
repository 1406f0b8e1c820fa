/** Helper for dependency injection with inversify. */
export {bind} from './bind.js';
