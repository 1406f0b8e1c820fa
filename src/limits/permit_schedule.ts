import {HostPosition} from './host_position.js';

/** How the permits for one server are issued. */
export interface PermitPlan extends HostPosition {
  /** Permits per second, for all hosts together. */
  readonly perSecond: number;
}

/** Time after which an unused permit expires, in milliseconds. */
export const PERMIT_LIFETIME_MS = 2000;
/** Interval between probe permits, in milliseconds; see `holdsProbePermit`. */
const PROBE_INTERVAL_MS = 1000;
const MS_PER_SECOND = 1000;

/**
 * This host's permits to send requests to one server.
 *
 * The permits of all hosts are numbered by reference time and assigned to the hosts
 * round-robin. Hosts that know the same set of hosts therefore share a limit exactly,
 * whatever their number, without exchanging messages. A host starts without permits, and
 * a host that is partitioned from the others uses no more than before. An unused permit
 * expires, which bounds how many permits all hosts together can accumulate.
 */
export class PermitSchedule {
  private plan: PermitPlan = {perSecond: 0, hosts: 1, place: 0};
  /** Number of this host's last permit that was used or has expired. */
  private spent = 0;

  /**
   * Changes how permits are issued. Permits issued under the previous plan become void,
   * since they may belong to another host under the new one.
   * @param plan - The new plan.
   * @param nowMs - Reference time.
   */
  setPlan(plan: PermitPlan, nowMs: number): void {
    const {perSecond, hosts, place} = this.plan;
    const isSame =
      perSecond === plan.perSecond &&
      hosts === plan.hosts &&
      place === plan.place;
    if (!isSame) {
      this.plan = plan;
      this.spent = this.countIssued(nowMs);
    }
  }

  /** Returns the number of permits that can be used now. */
  countAvailable(nowMs: number): number {
    this.expireOld(nowMs);
    return Math.max(0, this.countIssued(nowMs) - this.spent);
  }

  /** Uses the oldest permit, if any. */
  take(nowMs: number): void {
    if (this.countAvailable(nowMs) > 0) {
      this.spent++;
    }
  }

  /**
   * Returns whether the oldest permit is a probe permit: the first one of its second
   * over all hosts. It is used for any request, since the server's answer shows whether
   * the limit still applies.
   */
  holdsProbePermit(nowMs: number): boolean {
    if (this.countAvailable(nowMs) === 0) {
      return false;
    }
    const {perSecond} = this.plan;
    const issuedMs = this.getIssuedMs(this.spent + 1);
    const previousMs = issuedMs - MS_PER_SECOND / perSecond;
    const getSecond = (ms: number) => Math.floor(ms / PROBE_INTERVAL_MS);
    return getSecond(issuedMs) !== getSecond(previousMs);
  }

  /** Returns the time until a permit is available, in milliseconds. */
  getWaitMs(nowMs: number): number {
    return this.countAvailable(nowMs) > 0
      ? 0
      : Math.max(0, this.getIssuedMs(this.spent + 1) - nowMs);
  }

  /** Returns the permits per second that this host is issued. */
  getOwnRate(): number {
    return this.plan.perSecond / this.plan.hosts;
  }

  private expireOld(nowMs: number): void {
    const issued = this.countIssued(nowMs);
    const old = this.countIssued(nowMs - PERMIT_LIFETIME_MS);
    const isAhead = this.getIssuedMs(this.spent) > nowMs + PERMIT_LIFETIME_MS;
    // If the time was stepped back, no permit would be issued until it catches up.
    this.spent = isAhead ? issued : Math.max(this.spent, old);
  }

  /** Returns how many permits this host has been issued up to a time. */
  private countIssued(atMs: number): number {
    const {perSecond, hosts, place} = this.plan;
    const all = (atMs / MS_PER_SECOND) * perSecond;
    return Math.floor((all - place) / hosts);
  }

  /** Returns when this host is issued the permit with a number. */
  private getIssuedMs(number: number): number {
    const {perSecond, hosts, place} = this.plan;
    return ((number * hosts + place) / perSecond) * MS_PER_SECOND;
  }
}
