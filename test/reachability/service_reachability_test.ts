import {expect} from 'chai';
import {ConnectionOutcome} from '../../src/http/index.js';
import {SilentLog} from '../../src/log/index.js';
import {Metrics} from '../../src/metrics/index.js';
import {SeededRandom} from '../../src/random/index.js';
import {ServiceReachability} from '../../src/reachability/index.js';
import {VirtualClock} from '../../src/time/index.js';

const SERVICE = 'ledger';
const OTHER_SERVICE = 'desk';
const DEFAULT_SERVER_COUNT = 4;
/** Servers of the services that have another number of them. */
const SERVER_COUNTS: Readonly<Record<string, number>> = {
  single: 1,
  medium: 14,
  large: 400,
};
/** Connections that one check may try to open. */
const MAX_TRIES = 21;
/** Connections that one check may try to open if a server does not answer. */
const MAX_SILENT_TRIES = 5;

describe('ServiceReachability', () => {
  let clock: VirtualClock;
  let outcomes: Map<string, ConnectionOutcome>;
  let tried: string[];
  let closed: string[];
  let onTry: () => void;
  let addedServers: number;
  let reachability: ServiceReachability;

  beforeEach(() => {
    clock = new VirtualClock();
    outcomes = new Map();
    tried = [];
    closed = [];
    onTry = () => undefined;
    addedServers = 0;
    reachability = new ServiceReachability({
      clock,
      log: new SilentLog(),
      metrics: new Metrics(),
      random: new SeededRandom(1),
      dataCentre: 'here',
      listServers: service =>
        listNumbers(service).map(number => ({
          id: `${service}-${number}`,
          address: `${service}-${number}`,
          dataCentre: number === 1 ? 'here' : 'there',
        })),
      tryConnection: async address => {
        tried.push(address);
        onTry();
        return outcomes.get(address) ?? ConnectionOutcome.OPENED;
      },
      closeIdle: server => closed.push(server),
    });
  });

  /** Lists the numbers of the servers of a service. */
  function listNumbers(service: string): readonly number[] {
    const count =
      (SERVER_COUNTS[service] ?? DEFAULT_SERVER_COUNT) + addedServers;
    return Array.from({length: count}, (_, index) => index + 1);
  }

  function setAll(service: string, outcome: ConnectionOutcome): void {
    for (const number of listNumbers(service)) {
      outcomes.set(`${service}-${number}`, outcome);
    }
  }

  describe('a failed connection', () => {
    // Guards against a host that takes the crash of one server for its own fault.
    it('is the fault of its server if another server is reached', async () => {
      expect(await reachability.check(SERVICE, true)).to.equal(false);
      expect(tried).to.have.length(1);
      expect(reachability.isUnreachable(SERVICE)).to.equal(false);
    });

    // Guards against RECOVER: a host that takes its own partition for failed servers.
    it('is the fault of this host if no server is reached', async () => {
      setAll(SERVICE, ConnectionOutcome.REFUSED);
      expect(await reachability.check(SERVICE, false)).to.equal(true);
      expect(tried).to.have.length(4);
      expect(reachability.isUnreachable(SERVICE)).to.equal(true);
    });

    // Guards against a host that forwards requests whose servers it reaches.
    it('says nothing about other services', async () => {
      setAll(SERVICE, ConnectionOutcome.NO_ANSWER);
      await reachability.check(SERVICE, false);
      expect(reachability.isUnreachable(OTHER_SERVICE)).to.equal(false);
      expect(await reachability.check(OTHER_SERVICE, false)).to.equal(false);
      expect(reachability.isCutOff()).to.equal(false);
    });

    // Guards against a check for each of many requests that fail together.
    it('shares the check of others that fail at the same time', async () => {
      setAll(SERVICE, ConnectionOutcome.REFUSED);
      await Promise.all([
        reachability.check(SERVICE, false),
        reachability.check(SERVICE, false),
      ]);
      await reachability.check(SERVICE, false);
      expect(tried).to.have.length(4);
    });

    // Guards against a host that gives up the servers of its own data centre because it is
    // cut off from the others.
    it('is no fault of this host if a server of its data centre is reached', async () => {
      setAll(SERVICE, ConnectionOutcome.NO_ANSWER);
      outcomes.set(`${SERVICE}-1`, ConnectionOutcome.OPENED);
      for (let count = 0; count < 10; count++) {
        expect(await reachability.check(SERVICE, false)).to.equal(false);
        await clock.advance(1000);
      }
    });

    // Guards against a host that takes servers that terminated together for its own fault, so
    // that it does not suspect the request that terminated them, and gives up the others.
    it('is no fault of this host if only a server it tries last is reached', async () => {
      for (const reached of listNumbers('medium')) {
        setAll('medium', ConnectionOutcome.REFUSED);
        outcomes.set(`medium-${reached}`, ConnectionOutcome.OPENED);
        expect(await reachability.check('medium', true)).to.equal(false);
        await clock.advance(1000);
      }
    });

    // Guards against further servers that are listed at each check, though they are needed
    // only if all of the sample refuse, and that may be gone by then.
    it('leads to tries of the servers that are listed once the first have refused', async () => {
      setAll(SERVICE, ConnectionOutcome.REFUSED);
      onTry = () => (addedServers = 1);
      expect(await reachability.check(SERVICE, false)).to.equal(false);
      expect(tried).to.include(`${SERVICE}-${DEFAULT_SERVER_COUNT + 1}`);
    });

    // Guards against a check that opens connections to every server of a large service.
    it('leads to a bounded number of tries', async () => {
      setAll('large', ConnectionOutcome.REFUSED);
      await reachability.check('large', false);
      expect(tried).to.have.length.at.most(MAX_TRIES);
    });

    // Guards against requests that wait for more checks where packets get no answer.
    it('leads to no further tries if a server does not answer', async () => {
      setAll('medium', ConnectionOutcome.NO_ANSWER);
      await reachability.check('medium', false);
      expect(tried).to.have.length.at.most(MAX_SILENT_TRIES);
    });

    // Guards against a request that ends the only server of its service and is not
    // suspected, since the host takes the fault for its own.
    it('is not the fault of this host if there is no second server', async () => {
      outcomes.set('single-1', ConnectionOutcome.REFUSED);
      expect(await reachability.check('single', false)).to.equal(true);
      expect(reachability.isOwnFault('single')).to.equal(false);
    });
  });

  describe('open connections', () => {
    // Guards against giving up connections that live on while new ones are refused.
    it('are used on if new ones are refused and none broke', async () => {
      setAll(SERVICE, ConnectionOutcome.REFUSED);
      await reachability.check(SERVICE, false);
      expect(reachability.trustsOpenConnections(SERVICE)).to.equal(true);
      expect(closed).to.deep.equal([]);
    });

    // Guards against losing requests on connections that are reset when they are used.
    it('are closed once one of them breaks', async () => {
      setAll(SERVICE, ConnectionOutcome.REFUSED);
      await reachability.check(SERVICE, false);
      await reachability.check(SERVICE, true);
      expect(reachability.trustsOpenConnections(SERVICE)).to.equal(false);
      expect(closed).to.have.length(4);
    });

    // Guards against requests that wait on connections that deliver nothing.
    it('are closed if new ones get no answer', async () => {
      setAll(SERVICE, ConnectionOutcome.NO_ANSWER);
      await reachability.check(SERVICE, false);
      expect(reachability.trustsOpenConnections(SERVICE)).to.equal(false);
      expect(closed).to.have.length(4);
      expect(reachability.isCutOff()).to.equal(true);
    });
  });

  describe('silence', () => {
    // Guards against requests that wait on silent connections until their deadline.
    it('of all servers while requests wait leads to a check', async () => {
      setAll(SERVICE, ConnectionOutcome.NO_ANSWER);
      reachability.beginWait(SERVICE);
      await clock.advance(1000);
      expect(reachability.isUnreachable(SERVICE)).to.equal(true);
    });

    // Guards against connections that are tried though servers answer.
    it('leads to none while servers send bytes, or nobody waits', async () => {
      const end = reachability.beginWait(SERVICE);
      for (let step = 0; step < 10; step++) {
        await clock.advance(200);
        reachability.addBytes(SERVICE);
      }
      end();
      await clock.advance(2000);
      expect(tried).to.deep.equal([]);
    });

    // Guards against forwarding because of a server that is silent for a second.
    it('of servers that accept connections is not an outage', async () => {
      reachability.beginWait(SERVICE);
      await clock.advance(1200);
      expect(tried).not.to.deep.equal([]);
      expect(reachability.isUnreachable(SERVICE)).to.equal(false);
    });
  });

  describe('recovery', () => {
    // Guards against hosts that go to and fro on a link that loses packets.
    it('takes two successful checks in a row, and is published', async () => {
      const published: boolean[] = [];
      reachability.addListener((_service, isReachable) =>
        published.push(isReachable),
      );
      setAll(SERVICE, ConnectionOutcome.NO_ANSWER);
      await reachability.check(SERVICE, false);
      await clock.advance(2000);
      expect(published).to.deep.equal([false]);
      setAll(SERVICE, ConnectionOutcome.OPENED);
      await clock.advance(1000);
      expect(published).to.deep.equal([false, true]);
      expect(reachability.isUnreachable(SERVICE)).to.equal(false);
    });
  });
});
