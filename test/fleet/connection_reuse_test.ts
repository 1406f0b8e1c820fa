import {expect} from 'chai';
import {
  ConnectionCost,
  Fleet,
  FleetState,
  PromptPart,
  RequestOutcome,
} from '../../src/fleet/index.js';
import {SilentLog} from '../../src/log/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {chooseServer} from '../../src/routing/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVICE = 'desk';
const SERVERS = 42;
const REQUESTS_PER_SECOND = 5;
const SECONDS = 120;
/** Idle time after which a connection is closed, in milliseconds. */
const IDLE_MS = 6000;
/** Time for which a request occupies its server, in milliseconds. */
const REQUEST_MS = 300;
const RANDOM_SEED = 7;

/** One host of a large fleet: few requests to many servers, and its connections. */
class Host {
  readonly clock = new VirtualClock();
  readonly counts = new Map<string, number>();
  opened = 0;
  private readonly random = new SeededRandom(RANDOM_SEED);
  /** When the connection to a server was last used, by server. */
  private readonly usedMs = new Map<string, number>();
  private readonly fleet: Fleet;

  constructor(isEnabled: boolean) {
    this.fleet = new Fleet({
      clock: this.clock,
      log: new SilentLog(),
      random: this.random,
      dataCentre: 'here',
      listPeerLoads: () => [],
      connectionCost: new ConnectionCost({
        isEnabled: () => isEnabled,
        hasIdleConnection: server => this.hasIdle(server),
        capacity: 0.324,
      }),
    });
    for (let index = 0; index < SERVERS; index++) {
      const id = `s${index}`;
      this.fleet.register(
        {
          id,
          name: id,
          startedMs: 0,
          service: SERVICE,
          address: `${id}:1`,
          dataCentre: 'here',
          slots: 24,
          state: FleetState.READY,
          reclaimable: false,
        },
        'test',
      );
    }
  }

  /** Sends a request to the server that is chosen, and returns it. */
  async send(parts: readonly PromptPart[] = []): Promise<string> {
    const decision = chooseServer(
      {
        promptTokens: parts.reduce((sum, {tokens}) => sum + tokens, 0),
        expectedTokens: 1,
        excluded: new Set(),
        slackMs: 200,
      },
      this.fleet.listKnowledge(SERVICE, {parts}),
      this.random,
    );
    const server = decision.chosen?.server ?? '';
    this.opened += this.hasIdle(server) ? 0 : 1;
    this.counts.set(server, (this.counts.get(server) ?? 0) + 1);
    const request = this.fleet.trackRequest(server, parts, 0);
    void this.clock.sleep(REQUEST_MS).then(() => {
      request.addFirstByte(0);
      request.finish(RequestOutcome.SUCCEEDED);
      this.usedMs.set(server, this.clock.monotonicMs());
    });
    await this.clock.advance(1000 / REQUESTS_PER_SECOND);
    return server;
  }

  private hasIdle(server: string): boolean {
    const usedMs = this.usedMs.get(server) ?? Number.NEGATIVE_INFINITY;
    return this.clock.monotonicMs() - usedMs < IDLE_MS;
  }
}

async function countOpenedPerRequest(host: Host): Promise<number> {
  const requests = REQUESTS_PER_SECOND * SECONDS;
  for (let sent = 0; sent < requests; sent++) {
    await host.send();
  }
  return host.opened / requests;
}

/**
 * The load: a host of a large fleet that sends five requests a second to 42 servers. Opening
 * a connection takes a third of a core as long as the request itself, so most requests
 * must find one open.
 */
describe('ConnectionCost', () => {
  it('keeps a host of a large fleet to servers that it is connected to', async () => {
    expect(await countOpenedPerRequest(new Host(true))).to.be.below(0.3);
  });

  it('does not send one server most of the requests', async () => {
    const host = new Host(true);
    await countOpenedPerRequest(host);
    const most = Math.max(...host.counts.values());
    const sum = [...host.counts.values()].reduce((a, b) => a + b, 0);
    expect(most / sum).to.be.below(0.5);
  });

  it('has no effect while it is not enabled', async () => {
    expect(await countOpenedPerRequest(new Host(false))).to.be.above(0.3);
  });

  it('counts less than a long part of the prompt that a server has cached', async () => {
    const host = new Host(true);
    const parts = [
      {id: 'session', tokens: 4870},
      {id: 'own', tokens: 10},
    ];
    const first = await host.send(parts);
    await host.clock.advance(IDLE_MS);
    await countOpenedPerRequest(host);
    const counts = host.counts.get(first) ?? 0;
    await host.send(parts);
    expect(host.counts.get(first)).to.equal(counts + 1);
  });
});
