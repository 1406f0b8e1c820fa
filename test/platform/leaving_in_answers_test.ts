import {expect} from 'chai';
import {CallerRequest, CallerTraffic} from './fakes/caller_traffic.js';
import {answerWith, formatHead, Script} from './fakes/fake_server.js';
import {RunningHost, TestSystem} from './fakes/test_system.js';

/** Time after which a host must send no requests to a server known to leave, in ms. */
const DRAIN_MS = 2000;
const HOSTS = ['front-1', 'front-2', 'front-3'];
const SERVERS = 4;
const REQUESTS_PER_S = 90;
const TRAFFIC_MS = 4500;
const LEAVING = 'server-leaving';

describe('a server that states in its answers that it leaves', () => {
  let system: TestSystem;
  let hosts: RunningHost[];
  let traffic: CallerTraffic;
  let leavingServers: Set<number>;

  beforeEach(async () => {
    system = new TestSystem();
    leavingServers = new Set();
    system.addServers(SERVERS, (_server, index) => createScript(index));
    await system.start();
    hosts = await system.startHosts(HOSTS);
    traffic = new CallerTraffic(system, hosts, REQUESTS_PER_S);
  });

  afterEach(() => system.stop());

  function createScript(index: number): Script {
    const plain = answerWith('whole');
    return (socket, request) => {
      if (!leavingServers.has(index)) {
        plain(socket, request);
        return;
      }
      const headers = ['Server-Leaving: 1', 'Content-Length: 5'];
      socket.write(`${formatHead(request, 200, headers)}whole`);
    };
  }

  /** Lists the requests that reached the server although their host had to know better. */
  function listLate(requests: readonly CallerRequest[]): CallerRequest[] {
    const late: CallerRequest[] = [];
    for (const [host] of HOSTS.entries()) {
      const answered = requests.filter(
        request => request.host === host && LEAVING in request.view.headers,
      );
      const knownMs = Math.min(...answered.map(({answeredMs}) => answeredMs));
      late.push(...answered.filter(({sentMs}) => sentMs > knownMs + DRAIN_MS));
    }
    return late;
  }

  // Guards against hosts that read the state of servers from the store alone: a server
  // leaves before the store has accepted its report.
  it('gets no requests from hosts that have had such an answer, though the store lists it as ready', async () => {
    leavingServers.add(0);
    const requests = await traffic.sendFor(TRAFFIC_MS);
    expect(listLate(requests)).to.deep.equal([]);
    expect(requests.every(({view}) => view.status === 200)).to.equal(true);
  }).timeout(30_000);

  // Guards against the same while the store is away, so that nothing else tells.
  it('gets no requests from such hosts while the store does not respond', async () => {
    system.store.faults.unresponsive = true;
    leavingServers.add(0);
    const requests = await traffic.sendFor(TRAFFIC_MS);
    expect(listLate(requests)).to.deep.equal([]);
  }).timeout(30_000);
});
