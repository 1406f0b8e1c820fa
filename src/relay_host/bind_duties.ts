import {Container} from 'inversify';
import {Provisioner, ServiceWork} from '../provisioning/index.js';
import {CatalogStore} from '../catalog/index.js';
import {bind} from '../container/index.js';
import {chooseInterval, DurableCounts} from '../durable_counts/index.js';
import {Feature, Features} from '../features/index.js';
import {Fleet} from '../fleet/index.js';
import {Duty, Lease} from '../lease/index.js';
import {ServerLimits} from '../limits/index.js';
import {Metrics} from '../metrics/index.js';
import {HostReports, KnownHosts, PeerMessages} from '../peering/index.js';
import {Quota} from '../quota/index.js';
import {
  HostUsage,
  ReferenceTime,
  UsageLedger,
  UsageReporter,
} from '../usage/index.js';
import {ServerModels} from '../server_model/index.js';
import {createShouldCompete} from './create_should_compete.js';
import {createOrigin} from './create_origin.js';
import {
  CLOCK,
  GET_SETTINGS,
  LOG,
  ORDER_SERVERS,
  SELF,
  SEND_USAGE,
  TABLE,
} from './identifiers.js';

/**
 * Interval between checks of a lease that another host holds, as a part of its duration.
 */
const POLL_SHARE = 0.7;
/**
 * Time for which a server must have stated a rate limit before another server is ordered
 * because of it, in milliseconds: a shorter need would be over before that one serves.
 */
const MIN_LIMITED_MS = 5000;
/** Renewals of a lease within its duration. */
const RENEWALS_PER_LEASE = 3;

/**
 * Binds the duties, which one host at a time does for all: usage reports and server
 * orders.
 */
export function bindDuties(container: Container): void {
  bindLease(container);
  bindUsage(container);
  bindDurableCounts(container);
  bindProvisioning(container);
}

function bindLease(container: Container): void {
  bind(container, Duty, context => {
    const {leaseMs} = context.get(GET_SETTINGS)();
    const {host} = context.get(SELF);
    return new Duty({
      lease: new Lease({
        table: context.get(TABLE),
        clock: context.get(CLOCK),
        role: 'duties',
        holder: createOrigin(context),
        isOwnMachine: holder => holder.startsWith(`${host}/`),
        durationMs: leaseMs,
        marginMs: leaseMs / RENEWALS_PER_LEASE,
      }),
      clock: context.get(CLOCK),
      log: context.get(LOG),
      renewMs: leaseMs / RENEWALS_PER_LEASE,
      watchMs: leaseMs * POLL_SHARE,
      marginMs: leaseMs / RENEWALS_PER_LEASE,
      quietMs: leaseMs,
      competes: createShouldCompete(context),
    });
  });
}

function bindUsage(container: Container): void {
  bind(
    container,
    ReferenceTime,
    context => new ReferenceTime(context.get(CLOCK), context.get(SELF).host),
  );
  bind(container, HostUsage, () => new HostUsage());
  bind(container, UsageLedger, context => {
    const referenceTime = context.get(ReferenceTime);
    const {usageWindowMs} = context.get(GET_SETTINGS)();
    return new UsageLedger(usageWindowMs, () => referenceTime.getMs());
  });
  bind(container, UsageReporter, context => {
    const referenceTime = context.get(ReferenceTime);
    const {usageWindowMs, usageLateMs} = context.get(GET_SETTINGS)();
    return new UsageReporter({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      table: context.get(TABLE),
      duty: context.get(Duty),
      reachesHolder: () => context.get(HostReports).knowsHolder(),
      reachesAll: () => context.get(KnownHosts).areAllAlive(),
      gather: window => container.get(PeerMessages).gatherUsage(window),
      ledger: context.get(UsageLedger),
      hostUsage: context.get(HostUsage),
      origin: createOrigin(context),
      getReferenceMs: () => referenceTime.getMs(),
      windowMs: usageWindowMs,
      deadlineMs: usageLateMs,
      send: context.get(SEND_USAGE),
      mayDecide: () => container.get(DurableCounts).mayDecide(),
      readStored: () => container.get(DurableCounts).readCounts(),
    });
  });
}

function bindDurableCounts(container: Container): void {
  bind(container, DurableCounts, context => {
    const known = context.get(KnownHosts);
    const referenceTime = context.get(ReferenceTime);
    const {usageWindowMs, usageLateMs} = context.get(GET_SETTINGS)();
    return new DurableCounts({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      metrics: context.get(Metrics),
      table: context.get(TABLE),
      ledger: context.get(UsageLedger),
      hostUsage: context.get(HostUsage),
      quota: context.get(Quota),
      origin: createOrigin(context),
      dataCentre: context.get(SELF).dataCentre,
      isEnabled: () => context.get(Features).isEnabled(Feature.DURABLE_COUNTS),
      isWriter: () =>
        known.isLargeFleet()
          ? known.isAggregator()
          : context.get(Duty).isHeld(),
      getIntervalMs: () =>
        chooseInterval(
          known.countHosts(),
          known.isLargeFleet() ? known.listDataCentres().length : 1,
        ),
      readSharedMs: () => referenceTime.readSharedMs(),
      getReferenceMs: () => referenceTime.getMs(),
      windowMs: usageWindowMs,
      deadlineMs: usageLateMs,
    });
  });
}

function bindProvisioning(container: Container): void {
  bind(container, Provisioner, context => {
    const fleet = context.get(Fleet);
    const reports = context.get(HostReports);
    const limits = context.get(ServerLimits);
    const models = context.get(ServerModels);
    return new Provisioner({
      clock: context.get(CLOCK),
      log: context.get(LOG),
      duty: context.get(Duty),
      catalog: context.get(CatalogStore),
      fleet,
      getWork: service => ({
        ...getWork(service, fleet, reports),
        limited: countLimited(service, fleet, limits),
      }),
      order: context.get(ORDER_SERVERS),
      getPrefillRate: service =>
        models.isEnabled() ? models.getPrefillRate(service) : undefined,
    });
  });
}

function countLimited(
  service: string,
  fleet: Fleet,
  limits: ServerLimits,
): number {
  const servers = fleet.listServers(service).map(({id}) => id);
  return limits.countLimitedFor(servers, MIN_LIMITED_MS);
}

function getWork(
  service: string,
  fleet: Fleet,
  reports: HostReports,
): Omit<ServiceWork, 'limited'> {
  const isOfService = (server: string) =>
    fleet.get(server)?.service === service;
  let running = reports.sumInFlight(isOfService);
  for (const load of fleet.listOwnLoads()) {
    running += isOfService(load.server) ? load.running : 0;
  }
  const ownPrefill = fleet
    .listPrefillRates()
    .find(work => work.customer === service);
  const prefillPerSecond =
    (ownPrefill?.perSecond ?? 0) + reports.sumPrefillRate(service);
  return {prefillPerSecond, running};
}
