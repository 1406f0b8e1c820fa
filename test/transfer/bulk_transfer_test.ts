/** Load: a large configuration is changed repeatedly while links are thin. */
import {expect} from 'chai';
import {
  SimulatedHost,
  SimulatedHosts,
  SimulatedMessage,
  SIMULATED_TABLE,
} from '../../src/slopes/index.js';

const LINK_MBPS = 10;
/** Time within which a configuration must be in force, in milliseconds. */
const BOUND_MS = 3000;
const HEARTBEAT_MS = 400;
const KEY = 'configuration';

describe('BulkTransfer', () => {
  let fleet: SimulatedHosts;
  let sender: SimulatedHost;
  let receiver: SimulatedHost;
  /** Messages sent, in order. */
  let sent: SimulatedMessage[];

  beforeEach(() => {
    fleet = new SimulatedHosts();
    sent = [];
    fleet.alter = message => {
      sent.push(message);
      return message.body;
    };
    sender = start('sender', true, ['receiver']);
    receiver = start('receiver', true);
  });

  function start(
    name: string,
    inBulk: boolean,
    receivers: readonly string[] = [],
  ): SimulatedHost {
    return fleet.start({name, linkMbps: LINK_MBPS, inBulk, receivers});
  }

  function write(host: SimulatedHost, version: number, text: string): void {
    host.replica.addSnapshot([{key: KEY, version, text}], version, 'store');
  }

  /** Lets heartbeats of hosts reach the receiver until it has a version. */
  async function measureMs(
    version: number,
    senders = [sender],
  ): Promise<number> {
    const startMs = fleet.clock.monotonicMs();
    while (getReceiver().replica.getVersion() < version) {
      expect(fleet.clock.monotonicMs() - startMs).to.be.lessThan(10_000);
      for (const {name} of senders) {
        void fleet.reportStates(name, 'receiver');
      }
      await fleet.clock.advance(HEARTBEAT_MS);
    }
    return fleet.clock.monotonicMs() - startMs;
  }

  function getReceiver(): SimulatedHost {
    return fleet.hosts.get('receiver') ?? receiver;
  }

  function getText(): string | undefined {
    return getReceiver().replica.getText(KEY);
  }

  function countReceived(encoding: string): number {
    return getReceiver().metrics.getCount('long_rows_received', {encoding});
  }

  it('gives a change of a held row of 4 MiB as a difference', async () => {
    const before = createText(16_000, 'before');
    write(sender, 1, before);
    await measureMs(1);
    const {receivedBytes} = receiver.link;
    const after = before.replace('"name":"r-7000"', '"name":"changed"');
    write(sender, 2, after);
    expect(await measureMs(2)).to.be.at.most(HEARTBEAT_MS);
    expect(getText()).to.equal(after);
    expect(receiver.link.receivedBytes - receivedBytes).to.be.lessThan(5000);
    expect(countReceived('difference')).to.equal(1);
  });

  it('lets heartbeats pass while an incompressible row is transferred', async () => {
    write(sender, 1, createNoise(1_000_000));
    await fleet.clock.advance(500);
    expect(getText()).to.equal(undefined);
    const delay = fleet.reportStates('sender', 'receiver');
    await fleet.clock.advance(BOUND_MS);
    expect(await delay).to.be.lessThan(120);
    expect(getText()).not.to.equal(undefined);
  });

  it('requests no segment twice on a link on which the window takes longer than a stall', async () => {
    receiver = fleet.start({...receiver, linkMbps: 0.6});
    write(sender, 1, createNoise(200_000));
    await fleet.clock.advance(6000);
    expect(getText()).not.to.equal(undefined);
    const offsets = sent
      .map(({body}) => (body as {offset?: number}).offset)
      .filter(offset => offset !== undefined);
    expect(offsets.length).to.equal(new Set(offsets).size);
  });

  it('asks the next peer if a sender stops midway', async () => {
    const other = start('other', true);
    const text = createNoise(300_000);
    let segments = 0;
    fleet.alter = ({from, body}) =>
      from === 'sender' && isSegment(body) && ++segments > 2 ? undefined : body;
    write(sender, 1, text);
    write(other, 1, text);
    expect(await measureMs(1, [sender, other])).to.be.lessThan(BOUND_MS);
    expect(segments).to.be.greaterThan(2);
  });

  it('requests the whole text if a difference does not fit', async () => {
    const before = createText(200, 'before');
    write(sender, 1, before);
    await measureMs(1);
    // The hash of the result is that of another text.
    fleet.alter = ({body}) => alterHash(body);
    const after = before.replace('"name":"r-70"', '"name":"changed"');
    write(sender, 2, after);
    expect(await measureMs(2)).to.be.lessThan(BOUND_MS);
    expect(getText()).to.equal(after);
    expect(countReceived('whole')).to.equal(2);
  });

  it('starts over at a host that restarts midway', async () => {
    const text = createNoise(1_000_000);
    write(sender, 1, text);
    await fleet.clock.advance(400);
    expect(sent.some(({body}) => isSegment(body))).to.equal(true);
    start('receiver', true);
    await measureMs(1);
    expect(getText()).to.equal(text);
  });

  it('gives a host of the previous release the whole rows that it knows', async () => {
    receiver = start('receiver', false);
    const text = createText(1600, 'text');
    write(sender, 1, text);
    expect(await measureMs(1)).to.be.lessThan(BOUND_MS);
    expect(getText()).to.equal(text);
    expect(countReceived('whole')).to.equal(0);
  });

  it('takes whole rows from a host of the previous release', async () => {
    sender = start('sender', false, ['receiver']);
    const text = createText(1600, 'text');
    write(sender, 1, text);
    expect(await measureMs(1)).to.be.lessThan(BOUND_MS);
    expect(getText()).to.equal(text);
    expect(countReceived('whole')).to.equal(0);
  });

  it('requests a version that is announced during the transfer of the one before', async () => {
    write(sender, 1, createNoise(300_000));
    await fleet.clock.advance(100);
    const text = createNoise(300_001);
    write(sender, 2, text);
    await fleet.clock.advance(BOUND_MS);
    expect(getText()).to.equal(text);
  });

  it('requests nothing from peers while the store’s reply is arriving', async () => {
    const {progress} = receiver.bulk;
    write(sender, 1, createText(1600, 'text'));
    for (let step = 0; step < 10; step++) {
      progress.addProgress(SIMULATED_TABLE, 'store');
      await fleet.clock.advance(100);
    }
    expect(sent.filter(({from}) => from === 'receiver').length).to.be.at.most(
      1,
    );
    // The store fails midway: no more progress.
    expect(await measureMs(1)).to.be.lessThan(BOUND_MS - 1000);
  });
});

function isSegment(body: unknown): boolean {
  return (body as {data?: unknown}).data instanceof Uint8Array;
}

/** Replaces the hashes of differences. */
function alterHash(body: unknown): unknown {
  const {long} = body as {long?: {base?: string; hash: string}[]};
  return long === undefined
    ? body
    : {
        ...(body as object),
        long: long.map(row =>
          row.base === undefined ? row : {...row, hash: 'other'},
        ),
      };
}

/** Creates JSON that compresses well. */
function createText(routes: number, note: string): string {
  const list = Array.from({length: routes}, (_unused, index) => ({
    name: `r-${index}`,
    path: `/v1/${index * 7919}`,
    service: 'desk',
    rank: index % 3,
    timeout: 20_000,
    headers: {'X-Origin': 'front', 'X-Variant': `${index}`},
    note: 'x'.repeat(120),
  }));
  return JSON.stringify({note, list});
}

/** Creates a text that hardly compresses. */
function createNoise(length: number): string {
  let state = length + 1;
  const pieces: string[] = [];
  for (let index = 0; index < length; index++) {
    state = (state * 48_271) % 2_147_483_647;
    pieces.push(String.fromCharCode(33 + (state % 94)));
  }
  return pieces.join('');
}
