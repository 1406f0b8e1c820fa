import {hashKey} from '../../src/caller/index.js';
import {RunningHost, TrialCaller, TrialSystem} from '../../src/trial/index.js';

/** Key of the customer in system tests. */
export const CALLER_KEY = 'test-caller-key';

/** A model server of a test. */
export function engine(name: string, dataCentre: string, decodeMs = 5) {
  return {
    name,
    dataCentre,
    kind: 'engine' as const,
    service: '',
    args: ['--model', 'provenance-8b@1', '--decode-ms', String(decodeMs)],
  };
}

/** A bidding server of a test. */
export function service(name: string, dataCentre: string, ...args: string[]) {
  return {name, dataCentre, kind: 'service' as const, service: 'bids', args};
}

/** Describes the servers, a customer and two deployments to the system. */
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
    // A busy test machine must not make admission refuse.
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

/** Has a suite start a system with its records before, and stop it after. */
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

/** Returns a caller that talks to a host. */
export function createCaller(system: TrialSystem, index: number): TrialCaller {
  return new TrialCaller(getHost(system, index).callersUrl, CALLER_KEY);
}

/** Repeats a check until it holds; gives up with its last failure. */
export async function eventually(
  check: () => Promise<void>,
  limitMs = 10_000,
): Promise<void> {
  const endMs = Date.now() + limitMs;
  for (;;) {
    try {
      await check();
      return;
    } catch (error) {
      if (Date.now() > endMs) {
        throw error;
      }
      await new Promise(resolve => setTimeout(resolve, 25));
    }
  }
}
