import {CatalogStore, Service} from '../catalog/index.js';
import {Fleet, FleetState} from '../fleet/index.js';
import {Duty} from '../lease/index.js';
import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {Need, NeedMeter} from './need_meter.js';
import {ServiceWork} from './service_work.js';
import {CentreServers, planFleet} from './plan_fleet.js';

/** An order for servers of one kind in one data centre; `count` is the total to have. */
export interface ServerOrder {
  readonly service: string;
  readonly dataCentre: string;
  readonly count: number;
  readonly reclaimable: boolean;
}

/** Outcome of an order. */
export const OrderOutcome = {
  TAKEN: 'taken',
  /** None are available there now. */
  REFUSED: 'refused',
  /** No usable answer was received; repeating the order is harmless. */
  UNKNOWN: 'unknown',
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** Sends an order with a fencing token. */
export type OrderServers = (
  order: ServerOrder,
  fence: number,
) => Promise<OrderOutcome>;

/** Dependencies of the provisioner. */
export interface ProvisionerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly duty: Duty;
  readonly catalog: CatalogStore;
  readonly fleet: Fleet;
  readonly getWork: (service: string) => ServiceWork;
  readonly order: OrderServers;
  /** See `NeedMeter`. */
  readonly getPrefillRate?: (service: string) => number | undefined;
}

/** The last order for one kind in one data centre. */
interface LastOrder {
  readonly count: number;
  readonly sentMs: number;
}

/** Interval between rounds at the holder of the duty, in milliseconds. */
const POLL_INTERVAL_MS = 500;
/** The same at a host that may not order and only measures the load, in milliseconds. */
const STANDBY_POLL_INTERVAL_MS = 1000;
/** Time after the boot time until missing servers are ordered again, in milliseconds. */
const BOOT_MARGIN_MS = 1500;
/** Backoff after an order that was not taken, in milliseconds. */
const REFUSAL_BACKOFF_MS = 2500;

/** As holder of the duty, orders servers for each service that has a scaling policy. */
export class Provisioner {
  private readonly orders = new Map<string, LastOrder>();
  private readonly refusedUntilMs = new Map<string, number>();
  private readonly needs: NeedMeter;

  constructor(private readonly options: ProvisionerOptions) {
    this.needs = new NeedMeter(options.clock, options.getPrefillRate);
  }

  /** Checks and orders servers until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const {clock, duty} = this.options;
      await clock.sleep(
        duty.isHeld() ? POLL_INTERVAL_MS : STANDBY_POLL_INTERVAL_MS,
        signal,
      );
      for (const service of this.listServices()) {
        await this.provision(service);
      }
    }
  }

  private listServices(): Service[] {
    const services = this.options.catalog.getView()?.catalog.services;
    return [...(services?.values() ?? [])].filter(
      service => service.scaling !== undefined,
    );
  }

  private async provision(service: Service): Promise<void> {
    const {scaling} = service;
    const centres = this.listCentres(service);
    const present = centres.reduce(
      (sum, centre) => sum + centre.reclaimable + centre.onDemand,
      0,
    );
    const work = this.options.getWork(service.name);
    const need = this.needs.getNeed(service, work, present);
    const mayAct = this.options.duty.getFence() !== undefined;
    if (scaling === undefined || !mayAct || !this.needs.isReady()) {
      // Only the holder of the duty orders; orders of an earlier tenure are discarded.
      this.orders.clear();
      return;
    }
    for (const order of planFleet({scaling, centres, ...need})) {
      const {dataCentre} = order;
      const centre = centres.find(known => known.dataCentre === dataCentre);
      const common = {service: service.name, dataCentre};
      await this.order(
        {...common, reclaimable: true, count: order.reclaimable},
        centre?.reclaimable ?? 0,
        scaling.bootMs,
        need,
      );
      await this.order(
        {...common, reclaimable: false, count: order.onDemand},
        centre?.onDemand ?? 0,
        scaling.bootMs,
        need,
      );
    }
  }

  private async order(
    order: ServerOrder,
    present: number,
    bootMs: number,
    need: Need,
  ): Promise<void> {
    const {clock, duty, log} = this.options;
    const key = `${order.service}/${order.dataCentre}/${order.reclaimable}`;
    const nowMs = clock.monotonicMs();
    const fence = duty.getFence();
    if (
      fence === undefined ||
      nowMs < (this.refusedUntilMs.get(key) ?? 0) ||
      !this.isDue(key, order, present, bootMs)
    ) {
      return;
    }
    this.orders.set(key, {count: order.count, sentMs: nowMs});
    const outcome = await this.options.order(order, fence);
    log.info('servers_ordered', {
      service: order.service,
      data_centre: order.dataCentre,
      count: order.count,
      present,
      reclaimable: order.reclaimable,
      needed: need.needed.toFixed(1),
      least: need.least.toFixed(1),
      fence,
      outcome,
    });
    if (outcome !== OrderOutcome.TAKEN) {
      this.refusedUntilMs.set(key, nowMs + REFUSAL_BACKOFF_MS);
      this.orders.delete(key);
    }
  }

  /** An order is due when it is new, or when the servers it ordered did not appear. */
  private isDue(
    key: string,
    order: ServerOrder,
    present: number,
    bootMs: number,
  ): boolean {
    if (order.count < present && !this.needs.mayRelease()) {
      return false;
    }
    const last = this.orders.get(key);
    if (last === undefined) {
      return order.count !== present;
    }
    if (last.count !== order.count) {
      return true;
    }
    const ageMs = this.options.clock.monotonicMs() - last.sentMs;
    return order.count !== present && ageMs > bootMs + BOOT_MARGIN_MS;
  }

  private listCentres(service: Service): CentreServers[] {
    const centres: CentreServers[] = [];
    const servers = this.options.fleet.listServers(service.name);
    for (const dataCentre of service.scaling?.prices.keys() ?? []) {
      const here = servers.filter(
        server =>
          server.dataCentre === dataCentre && server.state === FleetState.READY,
      );
      const reclaimable = here.filter(server => server.reclaimable).length;
      centres.push({
        dataCentre,
        reclaimable,
        onDemand: here.length - reclaimable,
      });
    }
    return centres;
  }
}
