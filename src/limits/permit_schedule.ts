import {Turn} from './turn.js';

/** How the permits of one server are issued. */
export interface PermitPlan extends Turn {
  /** Permits a second, of all hosts together. */
  readonly perSecond: number;
}

/** Time for which a permit may be used, in milliseconds. */
export const PERMIT_LIFE_MS = 2000;
/** Pause between permits that have to be used, in milliseconds. */
const TRIAL_MS = 1000;
const MS_PER_SECOND = 1000;

/**
 * Permits to send one server a request, at this host.
 *
 * The permits of all hosts are numbered by true time, and go to the hosts in turn. So
 * hosts that know the same hosts share a limit exactly, however many they are, without
 * a message: no host has a permit of its own to begin with, and one that is cut off uses
 * no more than it did before. A permit that is not used in time is lost, so that what
 * was saved up at all hosts stays small.
 */
export class PermitSchedule {
  private plan: PermitPlan = {perSecond: 0, hosts: 1, place: 0};
  /** Number of the last permit that was used or is too old, counted at this host. */
  private spent = 0;

  /**
   * Changes how permits are issued. Those that were issued before are void, since the
   * same ones may be another host's now.
   * @param plan - How they are issued from now on.
   * @param nowMs - True time.
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

  /** Returns the permits that may be used now. */
  countHeld(nowMs: number): number {
    this.dropOld(nowMs);
    return Math.max(0, this.countIssued(nowMs) - this.spent);
  }

  /** Uses the oldest permit, if there is one. */
  take(nowMs: number): void {
    if (this.countHeld(nowMs) > 0) {
      this.spent++;
    }
  }

  /**
   * Tells whether the oldest permit is the first of all hosts' in its second. That one
   * is used for any request: what the server answers tells whether the limit holds.
   */
  holdsTrial(nowMs: number): boolean {
    if (this.countHeld(nowMs) === 0) {
      return false;
    }
    const {perSecond} = this.plan;
    const issuedMs = this.getIssuedMs(this.spent + 1);
    const previousMs = issuedMs - MS_PER_SECOND / perSecond;
    const getSecond = (ms: number) => Math.floor(ms / TRIAL_MS);
    return getSecond(issuedMs) !== getSecond(previousMs);
  }

  /** Returns the time until there is a permit, in milliseconds. */
  getWaitMs(nowMs: number): number {
    return this.countHeld(nowMs) > 0
      ? 0
      : Math.max(0, this.getIssuedMs(this.spent + 1) - nowMs);
  }

  /** Returns the permits a second that are issued to this host. */
  getOwnRate(): number {
    return this.plan.perSecond / this.plan.hosts;
  }

  private dropOld(nowMs: number): void {
    const issued = this.countIssued(nowMs);
    const old = this.countIssued(nowMs - PERMIT_LIFE_MS);
    const isAhead = this.getIssuedMs(this.spent) > nowMs + PERMIT_LIFE_MS;
    // Time that was stepped back would otherwise have to be caught up with first.
    this.spent = isAhead ? issued : Math.max(this.spent, old);
  }

  /** Returns how many permits this host was issued up to a time. */
  private countIssued(atMs: number): number {
    const {perSecond, hosts, place} = this.plan;
    const all = (atMs / MS_PER_SECOND) * perSecond;
    return Math.floor((all - place) / hosts);
  }

  /** Returns when this host is issued a permit, by its number. */
  private getIssuedMs(number: number): number {
    const {perSecond, hosts, place} = this.plan;
    return ((number * hosts + place) / perSecond) * MS_PER_SECOND;
  }
}
