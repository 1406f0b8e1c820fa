import {expect} from 'chai';
import {Express} from 'express';
import {ConfigurationStore} from '../../src/configuration/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {VirtualClock} from '../../src/time/index.js';
import {createOpenApi, OperatorApi} from '../../src/operator/index.js';

/** An entry of the router stack of Express, as far as it is used here. */
interface Layer {
  readonly route?: {
    readonly path: string;
    readonly methods: Readonly<Record<string, boolean>>;
  };
}

describe('createOpenApi', () => {
  function listRoutes(app: Express): string[] {
    const {stack} = app.router as unknown as {stack: readonly Layer[]};
    return stack.flatMap(({route}) =>
      route === undefined
        ? []
        : Object.keys(route.methods).map(
            method => `${method} ${route.path.replaceAll(/:(\w+)/g, '{$1}')}`,
          ),
    );
  }

  function listDescribedRoutes(): string[] {
    const {paths} = createOpenApi() as {paths: Record<string, object>};
    return Object.entries(paths).flatMap(([path, methods]) =>
      Object.keys(methods).map(method => `${method} ${path}`),
    );
  }

  it('lists exactly the routes of the interface', () => {
    const unused = () => {
      throw new Error('not called');
    };
    const app = new OperatorApi({
      clock: new VirtualClock(),
      bodyMemory: undefined as never,
      keyHashes: [],
      store: new ConfigurationStore(new SilentLog()),
      changes: undefined as never,
      metrics: new Metrics(),
      getStatus: unused,
      listUnreadyReasons: unused,
      setDrained: unused,
    }).createApp();
    expect(listRoutes(app).sort()).to.eql(listDescribedRoutes().sort());
  });
});
