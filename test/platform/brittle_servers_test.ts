import {expect} from 'chai';
import {BrittleServer} from './fakes/brittle_server.js';
import {CallerRequest, CallerTraffic} from './fakes/caller_traffic.js';
import {answerWith} from './fakes/fake_server.js';
import {TestSystem} from './fakes/test_system.js';

const HOSTS = 6;
const SERVERS = 12;
const SLOTS = 2;
const WORK_MS = 120;
const MAX_REJECTIONS = 4;
const CONTACT_MS = 3000;
const TRAFFIC_MS = 8000;
const CAPACITY_PER_S = (SERVERS * SLOTS * 1000) / WORK_MS;
/** Share of the requests that may be refused at a load that the servers can bear. */
const MAX_REFUSED_SHARE = 0.01;
const HIGH_LOAD = 0.8;

describe('servers that state that they are brittle', () => {
  let system: TestSystem;
  let servers: BrittleServer[];

  beforeEach(async () => {
    system = new TestSystem();
    system.slots = SLOTS;
    system.addServers(SERVERS, () => answerWith('whole'));
    servers = system.servers.map(
      server =>
        new BrittleServer(server, {
          slots: SLOTS,
          workMs: WORK_MS,
          usualQueue: 4,
          brittleQueue: 1,
          contactMs: CONTACT_MS,
          maxRejections: MAX_REJECTIONS,
          downMs: 3000,
        }),
    );
    await system.start();
  });

  afterEach(() => system.stop());

  // Guards against LIMIT: hosts whose requests together exceed what a brittle server lets
  // wait, so that it falls over.
  for (const load of [0.6, HIGH_LOAD]) {
    it(`do not fall over at ${load} of their capacity`, async () => {
      const requests = await sendAtLoad(load, HOSTS);
      expect(countFalls()).to.equal(0);
      const refused = requests.filter(({view}) => view.status !== 200);
      const maxShare = load < HIGH_LOAD ? MAX_REFUSED_SHARE : 1;
      expect(refused.length / requests.length).to.be.below(maxShare);
    });
  }

  // Guards against servers that fall because hosts send as before under too much load, and
  // against callers that wait though there is no room for them.
  it('do not fall over at twice their capacity', async () => {
    const requests = await sendAtLoad(2, HOSTS);
    expect(countFalls()).to.equal(0);
    const refused = requests.filter(({view}) => view.status === 503);
    for (const {view} of refused) {
      expect(Number(view.headers['retry-after'])).to.be.above(0);
    }
  });

  // Guards against one host that gets most requests and refuses them, while others have
  // room.
  it('are used in full though one host gets all requests', async () => {
    const requests = await sendAtLoad(0.6, 1);
    expect(countFalls()).to.equal(0);
    const refused = requests.filter(({view}) => view.status !== 200);
    expect(refused.length / requests.length).to.be.below(MAX_REFUSED_SHARE);
  });

  async function sendAtLoad(
    load: number,
    hostsWithCallers: number,
  ): Promise<CallerRequest[]> {
    const names = Array.from({length: HOSTS}, (_value, index) => `h-${index}`);
    const hosts = await system.startHosts(names);
    const traffic = new CallerTraffic(
      system,
      hosts.slice(0, hostsWithCallers),
      CAPACITY_PER_S * load,
    );
    for (const server of servers) {
      server.setBrittle(true);
    }
    const startMs = performance.now();
    const requests = await traffic.sendFor(TRAFFIC_MS);
    return requests.filter(({sentMs}) => sentMs >= startMs + CONTACT_MS);
  }

  function countFalls(): number {
    return servers.reduce((sum, {falls}) => sum + falls, 0);
  }
});
