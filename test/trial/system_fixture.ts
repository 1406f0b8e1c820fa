import {hashKey} from '../../src/caller/index.js';
import {RunningHost, TrialCaller, TrialSystem} from '../../src/trial/index.js';

/** API key of the customer in system tests. */
export const CALLER_KEY = 'test-caller-key';

/** Returns the plan of a model server. */
export function engine(name: string, dataCentre: string, decodeMs = 5) {
  return {
    name,
    dataCentre,
    kind: 'engine' as const,
    service: '',
    args: ['--model', 'provenance-8b@1', '--decode-ms', String(decodeMs)],
  };
}

/** Returns the plan of a server of the plain service `bids`. */
export function service(name: string, dataCentre: string, ...args: string[]) {
  return {name, dataCentre, kind: 'service' as const, service: 'bids', args};
}

/**
 * Creates the records of the servers, a customer and a model deployment, and of a service
 * deployment if the plan has a service.
 */
export async function applyRecords(system: TrialSystem): Promise<void> {
  for (const record of system.listServerRecords()) {
    await system.apply(record);
  }
  await system.apply({
    schemaVersion: 2,
    kind: 'customer',
    name: 'north-house',
    keyHashes: [hashKey(CALLER_KEY)],
  });
  await system.apply({
    schemaVersion: 2,
    kind: 'deployment',
    name: 'dossier',
    target: {kind: 'model', model: 'provenance-8b', version: '1'},
    // High targets, so that admission refuses nothing on a busy test machine.
    latencyTarget: {firstTokenMs: 60_000, betweenTokensMs: 10_000},
    servers: system.servers
      .filter(server => server.plan.kind === 'engine')
      .map(server => server.plan.name),
  });
  if (system.servers.every(server => server.plan.kind === 'engine')) {
    return;
  }
  await system.apply({
    schemaVersion: 1,
    kind: 'deployment',
    name: 'bids',
    service: 'bids',
    repeat: 'never',
  });
}

/** Registers hooks that start a system with its records before a suite and stop it afterwards. */
export function useSystem(system: TrialSystem): void {
  before(async () => {
    await system.start();
    await applyRecords(system);
  });
  after(() => system.stop());
}

/** Returns a host of a started system. */
export function getHost(system: TrialSystem, index: number): RunningHost {
  const host = system.hosts[index];
  if (host === undefined) {
    throw new Error(`the plan has no host ${index}`);
  }
  return host;
}

/** Returns a client of a host that uses the customer's key. */
export function createCaller(system: TrialSystem, index: number): TrialCaller {
  return new TrialCaller(getHost(system, index).callersUrl, CALLER_KEY);
}

/** Repeats a check until it passes; throws its last error after the timeout. */
export async function eventually(
  check: () => Promise<void>,
  timeoutMs = 10_000,
): Promise<void> {
  const deadlineMs = Date.now() + timeoutMs;
  for (;;) {
    try {
      await check();
      return;
    } catch (error) {
      if (Date.now() > deadlineMs) {
        throw error;
      }
      await new Promise(resolve => setTimeout(resolve, 25));
    }
  }
}
