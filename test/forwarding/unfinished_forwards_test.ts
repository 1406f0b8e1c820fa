import {connect, Socket} from 'node:net';
import {expect} from 'chai';
import {BodyMemory, parseAddress, splitMemory} from '../../src/http/index.js';
import {ExchangeKind} from '../../src/relay/index.js';
import {SystemClock} from '../../src/time/index.js';
import {ForwardingFixture, serveAnswer} from './forwarding_fixture.js';

const BODY_BYTES = 4_194_304;
/** The smallest machine of all deployments. */
const MEMORY_BYTES = 160_000_000;
const CLIENTS = 20;

/**
 * Guards against clients that state the length of a forwarded request and do not send it: hosts
 * that forward would find all others busy.
 */
describe('forwarded requests that do not end', () => {
  let fixture: ForwardingFixture;
  let sockets: Socket[];
  let memory: BodyMemory;

  beforeEach(async () => {
    fixture = new ForwardingFixture();
    sockets = [];
    memory = new BodyMemory(new SystemClock(), splitMemory(MEMORY_BYTES));
    await fixture.addHost(serveAnswer, {bodyMemory: memory});
  });

  afterEach(() => {
    for (const socket of sockets) {
      socket.destroy();
    }
    fixture.stop();
  });

  function open(bytes: number): Promise<void> {
    const socket = connect(parseAddress(fixture.getAddress(0)));
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.write(
      `POST /forward HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`,
    );
    return new Promise(resolve => {
      socket.once('close', () => resolve());
      socket.write(Buffer.alloc(bytes), () => resolve());
    });
  }

  it('take no memory that has not come, and leave room for others', async () => {
    await Promise.all(Array.from({length: CLIENTS}, () => open(1)));
    expect((await fixture.send()).kind).to.equal(ExchangeKind.ANSWERED);
  });

  it('take no more memory than the host has for bodies', async () => {
    await Promise.all(
      Array.from({length: CLIENTS}, () => open(BODY_BYTES - 1)),
    );
    const {receivingBytes} = splitMemory(MEMORY_BYTES);
    expect(memory.getReceivingBytes()).to.be.at.most(receivingBytes);
    expect((await fixture.send()).kind).to.equal(ExchangeKind.ANSWERED);
  });

  it('are ended', async function () {
    this.timeout(20_000);
    await open(1);
    const [socket] = sockets as [Socket];
    socket.resume();
    await new Promise(resolve => socket.once('close', resolve));
  });
});
