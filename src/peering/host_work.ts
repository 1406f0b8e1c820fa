import {RankedTokens, ServerLoad} from '../fleet/index.js';
import {HostReport} from './host_report.js';
import {WorkSummary} from './work_summary.js';

/** Rates by name: of customers, or of services. */
export type Rates = readonly (readonly [name: string, perSecond: number])[];

/** What one host, or several together, have under way. */
export interface HostWork {
  readonly loads: readonly ServerLoad[];
  /** Servers with the shared parts of prompts that they were just sent. */
  readonly parts: readonly (readonly [
    server: string,
    part: string,
    tokens: number,
  ])[];
  /** Prompt tokens per second that each service computes. */
  readonly prefill: Rates;
  /** Units per second that each customer asks for. */
  readonly demands: Rates;
}

/** Reads the work of one host from what it told. */
export function readReportedWork(report: HostReport): HostWork {
  const byServer = new Map<string, RankedTokens[]>();
  for (const [server, urgency, tokens] of report.prefillByRank) {
    const ranked = byServer.get(server) ?? [];
    ranked.push({urgency, tokens});
    byServer.set(server, ranked);
  }
  const {parts, prefill, demands} = report;
  const loads = report.loads.map(([server, running, tokens]) => ({
    server,
    running,
    // Hosts of the release before tell no ranks.
    prefill: byServer.get(server) ?? [{urgency: 0, tokens}],
  }));
  return {loads, parts, prefill, demands};
}

/** Reads the work of several hosts from their summary. */
export function readSummarisedWork(summary: WorkSummary): HostWork {
  const {parts, prefill, demands} = summary;
  const loads = summary.loads.map(([server, running, ranks]) => ({
    server,
    running,
    prefill: ranks.map(([urgency, tokens]) => ({urgency, tokens})),
  }));
  return {loads, parts, prefill, demands};
}
