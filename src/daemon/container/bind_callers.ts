/** Bindings of the callers' interface. */
import {Container, ResolutionContext} from 'inversify';
import {UsageCounter} from '../../admission/index.js';
import {
  CallerApi,
  CallerContext,
  GenerationAdmission,
  GenerationHandler,
  RequestHandler,
  ServiceHandler,
} from '../../caller/index.js';
import {ConfigurationStore} from '../../configuration/index.js';
import {BodyMemory} from '../../http/index.js';
import {GenerationRunner, GenerationStore} from '../../generation/index.js';
import {BookDirectory, KeyMint} from '../../journal/index.js';
import {Metrics} from '../../metrics/index.js';
import {Peers} from '../../peer/index.js';
import {ServerDirectory} from '../../routing/index.js';
import {AtMostOnceCalls, ServiceDispatcher} from '../../service/index.js';
import {Drain} from '../drain.js';
import {CLOCK, LOG, RANDOM, SELF, SETTINGS} from '../identifiers.js';
import {RemoteGenerationReader} from '../remote_generation_reader.js';
import {bind} from '../../container/index.js';

/** Binds the callers' interface and its handlers. */
export function bindCallers(container: Container): void {
  bind(
    container,
    RemoteGenerationReader,
    context =>
      new RemoteGenerationReader(
        context.get(SELF).host,
        context.get(Peers),
        context.get(BookDirectory),
        context.get(CLOCK),
        context.get(SETTINGS).peers.dead_after_ms,
      ),
  );
  bind(container, CallerApi, context => {
    const caller = createCallerContext(container, context);
    const calls = context.get(AtMostOnceCalls);
    const store = context.get(GenerationStore);
    const directory = context.get(ServerDirectory);
    const remote = context.get(RemoteGenerationReader);
    return new CallerApi(
      caller,
      new GenerationHandler(caller, {
        runner: context.get(GenerationRunner),
        store,
        usage: context.get(UsageCounter),
        admission: new GenerationAdmission({
          clock: context.get(CLOCK),
          log: context.get(LOG),
          random: context.get(RANDOM),
          runner: context.get(GenerationRunner),
          usage: context.get(UsageCounter),
          getCapacity: () => sumCapacity(directory),
        }),
      }),
      new ServiceHandler(caller, {
        calls,
        dispatcher: context.get(ServiceDispatcher),
        mintKey: () => context.get(KeyMint).mint(),
      }),
      new RequestHandler(caller, {
        store,
        calls,
        readRemote: (...request) => remote.read(...request),
      }),
    );
  });
}

function createCallerContext(
  container: Container,
  context: ResolutionContext,
): CallerContext {
  const {callers} = context.get(SETTINGS);
  return {
    clock: context.get(CLOCK),
    log: context.get(LOG),
    metrics: context.get(Metrics),
    configuration: context.get(ConfigurationStore),
    limits: {
      maxBodyBytes: callers.max_body_bytes,
      serviceTimeoutMs: callers.service_timeout_ms,
      generationTimeoutMs: callers.generation_timeout_ms,
      maxTimeoutMs: callers.max_timeout_ms,
    },
    bodyMemory: context.get(BodyMemory),
    mintId: () => context.get(KeyMint).mint(),
    isRefusing: () => container.get(Drain).isRefusing(),
  };
}

/**
 * Sums the capacity of the engines whose load is known, in concurrent
 * generations. Infinite while no capacity is known: customers' shares cannot be
 * computed then and are not enforced.
 */
function sumCapacity(directory: ServerDirectory): number {
  let capacity = 0;
  for (const server of directory.listServers()) {
    capacity += directory.getLoad(server.name)?.load.capacity ?? 0;
  }
  return capacity === 0 ? Number.POSITIVE_INFINITY : capacity;
}
