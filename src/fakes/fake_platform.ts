import express, {Express} from 'express';
import {z} from 'zod';
import {HostState, ListedHost, ReclaimNotice} from '../host_list/index.js';
import {MemoryTableService, Step} from '../table/index.js';
import {Clock} from '../time/index.js';
import {PlatformFault, platformFaultSchema} from './fault_settings.js';
import {injectFault} from './inject_fault.js';

const MAX_BODY = '16mb';

const hostSchema = z.object({
  name: z.string(),
  role: z.enum(['entry', 'backend']),
  dataCentre: z.string(),
  zone: z.string(),
  machineClass: z.string(),
  address: z.string(),
  state: z.enum(['live', 'leaving']).default('live'),
});

/** An earlier version of the host list, kept to publish the list with a delay. */
interface PreviousHostList {
  /** Time at which it was replaced, in ms of the monotonic clock. */
  readonly atMs: number;
  readonly hosts: readonly ListedHost[];
}

/** Number of calls that the fake platform has served. */
export interface PlatformCounts {
  tableReads: number;
  tableWrites: number;
  objectReads: number;
  objectWrites: number;
  /** Instances that the cloud has started. */
  starts: number;
}

/** Fake of the platform: table, object store, host list and cloud API. */
export class FakePlatform {
  readonly table = new MemoryTableService();
  readonly counts: PlatformCounts = {
    tableReads: 0,
    tableWrites: 0,
    objectReads: 0,
    objectWrites: 0,
    starts: 0,
  };
  private faults: PlatformFault = platformFaultSchema.parse({});
  private hosts: readonly ListedHost[] = [];
  private readonly previousHostLists: PreviousHostList[] = [];
  private readonly notices = new Map<string, ReclaimNotice>();
  private readonly objects = new Map<string, Buffer>();
  private readonly instanceByToken = new Map<string, string>();

  constructor(private readonly clock: Clock) {}

  /** Creates the express app with all routes. */
  createApp(): Express {
    const app = express();
    app.use(express.json({limit: MAX_BODY}));
    app.use(express.raw({type: 'application/octet-stream', limit: MAX_BODY}));
    this.addTable(app);
    this.addObjects(app);
    this.addHosts(app);
    this.addCloud(app);
    this.addFaults(app);
    return app;
  }

  private addTable(app: Express): void {
    const getFaultState = () => ({
      fault: this.faults.table,
      slowMs: this.faults.slowMs,
    });
    app.get(
      '/table/rows/:key',
      injectFault(this.clock, getFaultState, async (request, response) => {
        this.counts.tableReads++;
        const row = await this.table.get(String(request.params['key']));
        const found = row.unwrapOr(undefined);
        response.status(found === undefined ? 404 : 200).json(found ?? {});
      }),
    );
    app.get(
      '/table/rows',
      injectFault(this.clock, getFaultState, async (request, response) => {
        this.counts.tableReads++;
        const prefix = String(request.query['prefix'] ?? '');
        response.json((await this.table.list(prefix)).unwrapOr([]));
      }),
    );
    app.post(
      '/table/transactions',
      injectFault(this.clock, getFaultState, async (request, response) => {
        this.counts.tableWrites++;
        const {steps} = request.body as {steps: readonly Step[]};
        const commit = await this.table.transact(steps);
        if (commit.isErr) {
          response.status(412).json({rows: commit.error.rows ?? []});
          return;
        }
        response.json(commit.value);
      }),
    );
  }

  private addObjects(app: Express): void {
    const getFaultState = () => ({
      fault: this.faults.objects,
      slowMs: this.faults.slowMs,
    });
    app.get(
      '/objects/:key',
      injectFault(this.clock, getFaultState, async (request, response) => {
        this.counts.objectReads++;
        const found = this.objects.get(String(request.params['key']));
        if (found === undefined) {
          response.status(404).end();
          return;
        }
        response.type('application/octet-stream').send(found);
      }),
    );
    app.put(
      '/objects/:key',
      injectFault(this.clock, getFaultState, async (request, response) => {
        this.counts.objectWrites++;
        const key = String(request.params['key']);
        this.objects.set(key, request.body as Buffer);
        response.status(200).end();
      }),
    );
  }

  private addHosts(app: Express): void {
    const getFaultState = () => ({
      fault: this.faults.hostList,
      slowMs: this.faults.slowMs,
    });
    app.get(
      '/platform/hosts',
      injectFault(this.clock, getFaultState, async (_request, response) => {
        response.json(this.getPublishedHosts());
      }),
    );
    app.get(
      '/platform/notices',
      injectFault(this.clock, getFaultState, async (_request, response) => {
        response.json([...this.notices.values()]);
      }),
    );
    app.put('/platform/hosts', (request, response) => {
      this.setHosts(z.array(hostSchema).parse(request.body));
      response.json({});
    });
    app.post('/platform/notices', (request, response) => {
      const {host, noticeMs} = request.body as {host: string; noticeMs: number};
      this.addNotice(host, noticeMs);
      response.json({});
    });
  }

  private addCloud(app: Express): void {
    app.post('/cloud/instances', (request, response) => {
      const token = String(request.header('idempotency-key'));
      if (this.faults.refuseStarts) {
        response.status(409).json({reason: 'no capacity'});
        return;
      }
      const known = this.instanceByToken.get(token);
      if (known === undefined) {
        this.counts.starts++;
        this.instanceByToken.set(token, `instance-${this.counts.starts}`);
      }
      response.json({instance: this.instanceByToken.get(token)});
    });
  }

  private addFaults(app: Express): void {
    app.put('/faults', (request, response) => {
      this.faults = platformFaultSchema.parse(request.body);
      response.json(this.faults);
    });
    app.get('/counts', (_request, response) => {
      response.json(this.counts);
    });
  }

  private setHosts(hosts: readonly ListedHost[]): void {
    this.previousHostLists.push({
      atMs: this.clock.monotonicMs(),
      hosts: this.hosts,
    });
    this.hosts = hosts;
  }

  private addNotice(host: string, noticeMs: number): void {
    const deadlineMs = this.clock.now().getTime() + noticeMs;
    this.notices.set(host, {host, deadlineMs});
    this.setHosts(
      this.hosts.map(listed =>
        listed.name === host ? {...listed, state: HostState.LEAVING} : listed,
      ),
    );
  }

  private getPublishedHosts(): readonly ListedHost[] {
    const asOfMs = this.clock.monotonicMs() - this.faults.hostListLagMs;
    for (const state of this.previousHostLists) {
      if (state.atMs > asOfMs) {
        return state.hosts;
      }
    }
    return this.hosts;
  }
}
