import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect} from 'chai';
import {got} from 'got';
import {
  getProgramPath,
  OPERATOR_KEY,
  TrialSystem,
} from '../../src/trial/index.js';
import {
  applyRecords,
  createCaller,
  engine,
  eventually,
  getHost,
  service,
} from './system_fixture.js';

describe('a system of separate processes, for operators', () => {
  const system = new TrialSystem({
    hosts: [
      {name: 'tac-entry-1', dataCentre: 'tac-hall'},
      {name: 'pdx-entry-1', dataCentre: 'pdx-hall'},
    ],
    servers: [
      engine('tac-model-1', 'tac-hall'),
      service('tac-bids-1', 'tac-hall'),
    ],
  });
  let folder = '';

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'sedgefall-test-'));
    await system.start();
    await applyRecords(system);
  });
  after(async () => {
    await system.stop();
    await rm(folder, {recursive: true, force: true});
  });

  function runTool(
    args: readonly string[],
    program = 'sedgefall',
  ): Promise<{code: number; stdout: string; stderr: string}> {
    const server = getHost(system, 0).operatorsUrl;
    const common =
      program === 'sedgefall'
        ? ['--server', server, '--key', OPERATOR_KEY]
        : [];
    return new Promise(resolve => {
      execFile(
        process.execPath,
        [getProgramPath(program), ...args, ...common],
        (error, stdout, stderr) => {
          resolve({code: Number(error?.code ?? 0), stdout, stderr});
        },
      );
    });
  }

  async function writeRecord(name: string, record: unknown): Promise<string> {
    const file = join(folder, name);
    await writeFile(file, JSON.stringify(record));
    return file;
  }

  const customer = {
    schemaVersion: 2,
    kind: 'customer',
    name: 'south-house',
    keyHashes: ['1'.repeat(64)],
  };

  describe('the command-line tool', () => {
    it('applies, gets, describes and deletes a record', async () => {
      const file = await writeRecord('customer.json', customer);
      expect((await runTool(['apply', file])).stdout).to.include('in-force');
      const listed = await runTool(['get', 'customers', '--output', 'json']);
      const body = JSON.parse(listed.stdout) as {items: {name: string}[]};
      expect(body.items.map(item => item.name)).to.include('south-house');
      const described = await runTool(['describe', 'customer', 'south-house']);
      expect(described.stdout).to.include('keyHashes');
      const deleted = await runTool(['delete', 'customer', 'south-house']);
      expect(deleted.code).to.equal(0);
      const missing = await runTool(['get', 'customer', 'south-house']);
      expect(missing.code).to.equal(5);
      expect(missing.stderr).to.include('sedgefall get customers');
    });

    it('shows the current record when a precondition fails', async () => {
      const file = await writeRecord('c2.json', {...customer, name: 'c2'});
      await runTool(['apply', file]);
      const rejected = await runTool(['apply', file, '--if-revision', '0']);
      expect(rejected.code).to.equal(4);
      expect(rejected.stderr).to.include('the record is now: {');
    });

    it('shows the state of the system', async () => {
      const {stdout} = await runTool(['status']);
      expect(stdout).to.match(/tac-entry-1 +tac-hall +live +true/);
      expect(stdout).to.match(/tac-model-1 +tac-hall +engine/);
    });

    it('validates records offline and reports every mistake', async () => {
      const file = await writeRecord('bad.json', {
        ...customer,
        keyHashes: [],
        weight: -1,
      });
      const {code, stderr} = await runTool(['validate', file]);
      expect(code).to.equal(3);
      expect(stderr).to.include('keyHashes').and.to.include('weight');
    });

    it('suggests --server when the host cannot be reached', async () => {
      const {code, stderr} = await new Promise<{code: number; stderr: string}>(
        resolve => {
          const args = [
            'status',
            '--server',
            'http://127.0.0.1:1',
            '--key',
            'k',
          ];
          execFile(
            process.execPath,
            [getProgramPath('sedgefall'), ...args],
            (error, _out, text) =>
              resolve({code: Number(error?.code), stderr: text}),
          );
        },
      );
      expect(code).to.equal(1);
      expect(stderr).to.include('give --server');
    });

    it('drains a server, which then receives no requests, and undrains it', async () => {
      await runTool(['drain', 'server', 'tac-bids-1']);
      const refused = await createCaller(system, 0).call('bids', '/b', {});
      expect(refused.status).to.equal(503);
      expect(refused.body).to.deep.include({ran: 'no'});
      await runTool(['undrain', 'server', 'tac-bids-1']);
      const served = await createCaller(system, 0).call('bids', '/b', {});
      expect(served.status).to.equal(201);
    });

    it('drains a host through another host, which makes it not ready', async () => {
      const url = `${getHost(system, 1).operatorsUrl}/ready`;
      await runTool(['drain', 'host', 'pdx-entry-1']);
      expect(
        (await got(url, {throwHttpErrors: false, retry: {limit: 0}}))
          .statusCode,
      ).to.equal(503);
      await runTool(['undrain', 'host', 'pdx-entry-1']);
      expect((await got(url)).statusCode).to.equal(200);
    });
  });

  describe('placement', () => {
    it('loads a new version of a deployment on its server', async () => {
      const file = await writeRecord('dossier.json', {
        schemaVersion: 2,
        kind: 'deployment',
        name: 'dossier',
        target: {kind: 'model', model: 'provenance-8b', version: '2'},
        servers: ['tac-model-1'],
      });
      await runTool(['apply', file]);
      await eventually(async () => {
        const {stdout} = await runTool(['status', 'servers']);
        expect(stdout).to.include('provenance-8b@2');
      }, 15_000);
    });
  });

  describe('bad records', () => {
    async function put(record: Record<string, unknown>) {
      const url = `${getHost(system, 0).operatorsUrl}/admin/v1/records/deployments/bad`;
      const response = await got.put(url, {
        json: record,
        headers: {
          authorization: `Bearer ${OPERATOR_KEY}`,
          'if-none-match': '*',
        },
        throwHttpErrors: false,
        retry: {limit: 0},
      });
      return {status: response.statusCode, body: response.body};
    }

    const record = {
      schemaVersion: 2,
      kind: 'deployment',
      name: 'bad',
      target: {kind: 'model', model: 'm', version: '1'},
    };

    it('of an unknown schema version are refused', async () => {
      const {status, body} = await put({...record, schemaVersion: 77});
      expect(status).to.equal(422);
      expect(body).to.include('use 1 or 2');
    });

    it('that name an unknown server are refused', async () => {
      const {status, body} = await put({...record, servers: ['ghost']});
      expect(status).to.equal(422);
      expect(body).to.include('ghost').and.to.include('known: ');
    });

    it('without a precondition are refused', async () => {
      const url = `${getHost(system, 0).operatorsUrl}/admin/v1/records/deployments/bad`;
      const response = await got.put(url, {
        json: record,
        headers: {authorization: `Bearer ${OPERATOR_KEY}`},
        throwHttpErrors: false,
      });
      expect(response.statusCode).to.equal(428);
    });

    it('without a key are refused', async () => {
      const url = `${getHost(system, 0).operatorsUrl}/admin/v1/status`;
      const response = await got(url, {
        throwHttpErrors: false,
        retry: {limit: 0},
      });
      expect(response.statusCode).to.equal(401);
      expect(response.body).to.include('operators.key_hashes');
    });
  });

  describe('invalid input on the peer port', () => {
    async function sendBytes(bytes: Buffer): Promise<void> {
      const [host, port] = getHost(system, 0).peerAddress.split(':');
      const socket = connect(Number(port), host);
      socket.on('error', () => undefined);
      socket.write(bytes);
      socket.resume();
      await new Promise(resolve => socket.once('close', resolve));
    }

    const frames: Readonly<Record<string, Buffer>> = {
      'a frame of two gigabytes': Buffer.from([0x7f, 0xff, 0xff, 0xff, 1]),
      'a frame that is not CBOR': Buffer.from([0, 0, 0, 2, 0xff, 0xff]),
      'a greeting without required members': Buffer.from([0, 0, 0, 1, 0xa0]),
      'an HTTP request': Buffer.from('GET / HTTP/1.1\r\n\r\n'),
      'a truncated frame': Buffer.from([0, 0, 3]),
    };
    for (const [title, bytes] of Object.entries(frames)) {
      it(`${title} is dropped and logged, and the host continues to serve`, async () => {
        const {lines} = getHost(system, 0).process;
        const dropped = () =>
          lines.filter(line => line.includes('event=stranger_dropped')).length;
        const before = dropped();
        await sendBytes(bytes);
        await eventually(async () => {
          expect(dropped()).to.be.greaterThan(before);
        });
        const again = await createCaller(system, 0).stream('dossier', 'x', 2);
        expect(again.complete).to.equal(true);
      });
    }
  });

  describe('the daemon', () => {
    it('checks its settings and reports all mistakes', async () => {
      const file = join(folder, 'bad.toml');
      await writeFile(file, '[host]\nname = "A B"\ncolour = 3\n');
      const {code, stderr} = await runTool(
        ['--settings', file, '--check-settings'],
        'sedgefalld',
      );
      expect(code).to.equal(2);
      expect(stderr).to.include('host.name').and.to.include('host.colour');
      expect(stderr).to.include('callers');
    });

    it('exposes metrics, health and its OpenAPI description without a key', async () => {
      const url = getHost(system, 0).operatorsUrl;
      const metrics = await got(`${url}/metrics`).text();
      expect(metrics).to.match(/sedgefall_first_token_seconds_bucket\{/);
      expect(metrics).to.match(/sedgefall_configuration_revision \d+/);
      expect((await got(`${url}/health`)).statusCode).to.equal(200);
      const description = await got(`${url}/openapi.json`).json<object>();
      expect(description).to.have.property('openapi', '3.1.0');
    });
  });
});
