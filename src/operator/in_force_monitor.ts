import {ConfigurationStore} from '../configuration/index.js';
import {Membership} from '../membership/index.js';
import {Clock} from '../time/index.js';

/** Data centres in which a configuration revision is in force, and the others. */
export interface InForceReport {
  readonly revision: number;
  /** Data centres in which the revision is in force on every live host. */
  readonly inForce: readonly string[];
  /** Data centres that have not confirmed the revision. */
  readonly pending: readonly PendingDataCentre[];
}

/** A data centre in which a revision is not known to be in force. */
export interface PendingDataCentre {
  readonly dataCentre: string;
  /**
   * Hosts that do not respond or have a lower revision, or that report a lower
   * revision for their data centre. Entries that begin with "this host" concern the
   * host that reports. Empty if no host of the data centre is known.
   */
  readonly hosts: readonly string[];
}

/** Pause between two checks while waiting, in milliseconds. */
const POLL_MS = 25;

/** Determines in which data centres a revision is in force. */
export class InForceMonitor {
  /**
   * @param dataCentre - Data centre of this host.
   * @param configuration - Configuration of this host.
   * @param membership - The known hosts and the revisions they report.
   * @param clock - Clock for the wait.
   */
  constructor(
    private readonly dataCentre: string,
    private readonly configuration: ConfigurationStore,
    private readonly membership: Membership,
    private readonly clock: Clock,
  ) {}

  /**
   * Waits until a revision is in force in every known data centre.
   * @param revision - The revision.
   * @param limitMs - Longest wait, in milliseconds.
   * @returns The last report; after the limit it may list pending data centres.
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

  /** Returns where a revision is in force, as far as this host knows now. */
  getReport(revision: number): InForceReport {
    const pending = new Map<string, string[]>();
    const centres = new Set<string>([this.dataCentre]);
    if (!this.membership.hasList()) {
      // Without the host list there may be hosts that this host does not know.
      pending.set(this.dataCentre, ['this host has not read the host list']);
    }
    if (this.configuration.getRevision() < revision) {
      pending.set(this.dataCentre, ['this host']);
    }
    for (const known of this.membership.listKnown()) {
      centres.add(known.dataCentre);
      const isLocal = known.dataCentre === this.dataCentre;
      const reportedRevision = isLocal
        ? known.status?.revision
        : known.status?.centreRevision;
      const isInForce =
        this.membership.isAlive(known) && (reportedRevision ?? 0) >= revision;
      if (!isInForce && this.mustConfirm(known.host)) {
        const hosts = pending.get(known.dataCentre) ?? [];
        pending.set(known.dataCentre, [...hosts, known.host]);
      }
    }
    for (const server of this.configuration.getView().servers.values()) {
      if (!centres.has(server.dataCentre)) {
        // A data centre with servers has hosts too, but none of them is known yet.
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
   * Returns whether a host must confirm a revision itself. A live host that is
   * known only through its peers need not: the revision that its data centre
   * reports covers it. A host that does not respond must, since it may only be cut
   * off, until it is removed from the membership.
   */
  private mustConfirm(host: string): boolean {
    const known = this.membership.getHost(host);
    if (known === undefined) {
      return false;
    }
    const knownIndirectly =
      known.status === undefined && this.membership.isAlive(known);
    return !knownIndirectly;
  }
}
