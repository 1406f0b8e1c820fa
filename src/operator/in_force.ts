import {ConfigurationStore} from '../configuration/index.js';
import {Membership} from '../membership/index.js';
import {Clock} from '../time/index.js';

/** In which data centres a revision is in force. */
export interface InForceReport {
  readonly revision: number;
  /** Data centres in which every live host has it. */
  readonly inForce: readonly string[];
  /** Data centres that have not said so, with their silent or older hosts. */
  readonly pending: readonly PendingCentre[];
}

/** A data centre in which a revision is not known to be in force. */
export interface PendingCentre {
  readonly dataCentre: string;
  readonly hosts: readonly string[];
}

const POLL_MS = 25;

/** Finds out where a revision is in force. */
export class InForce {
  /**
   * @param dataCentre - Data centre of this host.
   * @param configuration - Configuration of this host.
   * @param membership - Tells which hosts there are, and their revisions.
   * @param clock - Measures the waits.
   */
  constructor(
    private readonly dataCentre: string,
    private readonly configuration: ConfigurationStore,
    private readonly membership: Membership,
    private readonly clock: Clock,
  ) {}

  /**
   * Waits until a revision is in force in every data centre heard of.
   * @param revision - The revision.
   * @param limitMs - Longest wait, in milliseconds.
   */
  async wait(revision: number, limitMs: number): Promise<InForceReport> {
    const endMs = this.clock.monotonicMs() + limitMs;
    for (;;) {
      const report = this.getReport(revision);
      if (report.pending.length === 0 || this.clock.monotonicMs() >= endMs) {
        return report;
      }
      await this.clock.sleep(POLL_MS);
    }
  }

  /** Reports where a revision is in force as far as is known now. */
  getReport(revision: number): InForceReport {
    const pending = new Map<string, string[]>();
    const centres = new Set<string>([this.dataCentre]);
    if (!this.membership.hasList()) {
      // It cannot speak for hosts that it may not even know of.
      pending.set(this.dataCentre, ['this host has not read the host list']);
    }
    if (this.configuration.getRevision() < revision) {
      pending.set(this.dataCentre, ['this host']);
    }
    for (const known of this.membership.listKnown()) {
      centres.add(known.dataCentre);
      const here = known.dataCentre === this.dataCentre;
      const heard = here
        ? known.status?.revision
        : known.status?.centreRevision;
      const current =
        this.membership.isAlive(known) && (heard ?? 0) >= revision;
      if (!current && this.counts(known.host)) {
        const hosts = pending.get(known.dataCentre) ?? [];
        pending.set(known.dataCentre, [...hosts, known.host]);
      }
    }
    for (const server of this.configuration.getView().servers.values()) {
      if (!centres.has(server.dataCentre)) {
        // It has servers, so it has hosts; none of them has been heard of.
        centres.add(server.dataCentre);
        pending.set(server.dataCentre, []);
      }
    }
    const inForce = [...centres].filter(centre => !pending.has(centre));
    return {
      revision,
      inForce,
      pending: [...pending].map(([dataCentre, hosts]) => ({dataCentre, hosts})),
    };
  }

  /**
   * A host that only others have heard counts through its data centre's
   * summary; a host that is silent counts as cut off, until it is forgotten.
   */
  private counts(host: string): boolean {
    const known = this.membership.getHost(host);
    if (known === undefined) {
      return false;
    }
    const onlyHeardOf =
      known.status === undefined && this.membership.isAlive(known);
    return !onlyHeardOf;
  }
}
