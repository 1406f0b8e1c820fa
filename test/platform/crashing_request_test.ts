import {expect} from 'chai';
import {answerWith, Script, StandInServer} from './stand_in/stand_in_server.js';
import {RunningHost, StandInSystem} from './stand_in/stand_in_system.js';

/**
 * Servers of a model service ended one after the other, forty in a minute and a half,
 * and up to half of all callers got no answer.
 *
 * One customer's request ended each server that began to run it. Its caller asked
 * again, each time with a new id and at another host, and each time a host sent it to
 * a server, and to a second one when the first was lost.
 *
 * The cause: all that a host remembered of a failure was about servers or about one
 * attempt of a caller, and none of it was told to other hosts. What proved it was one
 * content under many ids in the lines of lost runs.
 */
describe('a request that ends the servers that run it', () => {
  const BODY = 'ends its server';
  /** Ends after which it is known to be the cause. */
  const ENDS = 3;
  /** Time in which all hosts have to know it, in milliseconds. */
  const CONTACT_MS = 3000;
  /** Times that it may reach a server after that. */
  const MORE = 3;
  const SERVERS = 14;
  const ROUNDS = 6;
  let system: StandInSystem;
  let hosts: RunningHost[];
  let ended: number;

  beforeEach(async () => {
    system = new StandInSystem();
    ended = 0;
    while (system.servers.length < SERVERS) {
      system.servers.push(new StandInServer(answerWith('whole')));
    }
    for (const [index, server] of system.servers.entries()) {
      server.script = endOn(server, index);
    }
    await system.start();
    hosts = await startHosts(['front-1', 'front-2', 'front-3']);
  });

  afterEach(() => system.stop());

  /** Ends the server, and its entry, where it gets the request. */
  function endOn(server: StandInServer, index: number): Script {
    const answer = answerWith('whole');
    return (socket, request) => {
      if (request.body !== BODY) {
        answer(socket, request);
        return;
      }
      ended++;
      server.stop();
      system.store.remove('servers', `i-${index}`);
    };
  }

  async function startHosts(names: readonly string[]): Promise<RunningHost[]> {
    const started: RunningHost[] = [];
    for (const name of names) {
      started.push(await system.startHost(name));
    }
    for (const host of started) {
      await system.waitFor(() => system.isReady(host));
    }
    return started;
  }

  /** Sends it to each host in turn until that many servers have ended. */
  async function endServers(count: number): Promise<void> {
    for (let turn = 0; ended < count; turn++) {
      await ask(hosts[turn % hosts.length]);
    }
  }

  async function ask(host: RunningHost | undefined): Promise<number> {
    if (host === undefined) {
      throw new Error('no host');
    }
    return (await system.call(host, '/a/x', {}, BODY)).status;
  }

  /** Sends it to each host several times; returns how many servers ended. */
  async function askAllAgain(): Promise<number> {
    const before = ended;
    for (let round = 0; round < ROUNDS; round++) {
      for (const host of hosts) {
        await ask(host);
      }
    }
    return ended - before;
  }

  function waitForWord(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, CONTACT_MS));
  }

  it('reaches few more once it has ended three, at whichever host', async () => {
    await endServers(ENDS);
    await waitForWord();
    expect(await askAllAgain()).to.be.at.most(MORE);
  });

  it('is refused as not run, with a time to come back, and others are not', async () => {
    await endServers(ENDS);
    await waitForWord();
    for (const host of hosts) {
      const refused = await system.call(host, '/a/x', {}, BODY);
      expect(refused.status).to.equal(503);
      expect(refused.body).to.contain('"quarantined"').and.contain('"no"');
      expect(Number(refused.headers['retry-after'])).to.be.within(500, 600);
      expect((await system.call(host, '/a/x', {}, 'other')).status).to.equal(
        200,
      );
    }
  });

  it('reaches few more when every host has been started anew', async () => {
    await endServers(ENDS);
    await waitForWord();
    await Promise.all(hosts.map(({host}) => host.stop()));
    hosts = await startHosts(['front-4', 'front-5', 'front-6']);
    await waitForWord();
    expect(await askAllAgain()).to.be.at.most(MORE);
  });
});
