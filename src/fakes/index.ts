/** Small fakes of the platform and of backend servers, for tests and trials. */
export * from './fault_settings.js';
export {FakeEngine, getExpectedTokens} from './fake_engine.js';
export type {FakeEngineOptions} from './fake_engine.js';
export {FakeEngineApp} from './fake_engine_app.js';
export {FakePlatform} from './fake_platform.js';
export {FakeService} from './fake_service.js';
export type {FakeServiceOptions} from './fake_service.js';
export {FakeServiceApp} from './fake_service_app.js';
export {serveApp} from './serve_app.js';
export type {ServedApp} from './serve_app.js';
