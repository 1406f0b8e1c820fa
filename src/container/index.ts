/** Containers: what putting a program together by inversify needs. */
export {bind} from './bind.js';
