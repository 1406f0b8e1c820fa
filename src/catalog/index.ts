/** The catalog: routes, services, customers and limits of relayed requests. */
export * from './catalog.js';
export {CatalogView} from './catalog_view.js';
export {CatalogStore} from './catalog_store.js';
export type {CatalogListener} from './catalog_store.js';
export {findTarget} from './find_target.js';
export type {Target, TargetQuery} from './find_target.js';
