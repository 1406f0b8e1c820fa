import {PlacesInUse} from '../admission/index.js';
import {RankedTokens, ServerLoad} from '../fleet/index.js';
import {
  ModelSection,
  ModelSums,
  readModelSection,
} from '../server_model/index.js';
import {HostReport} from './host_report.js';
import {WorkSummary} from './work_summary.js';

/** Rates per second by name of the customer or service. */
export type Rates = readonly (readonly [name: string, perSecond: number])[];

/** The work in progress of one host, or of several together. */
export interface HostWork {
  readonly loads: readonly ServerLoad[];
  /** Shared parts of prompts that were just sent, with their servers. */
  readonly parts: readonly (readonly [
    server: string,
    part: string,
    tokens: number,
  ])[];
  /** Prompt tokens per second computed for each service. */
  readonly prefill: Rates;
  /** Demand of each customer, in units per second. */
  readonly demands: Rates;
  /** Requests in flight by service and customer; none from the previous release. */
  readonly places: readonly PlacesInUse[];
  /** Sums of the observations of servers; absent if none are learned from. */
  readonly model?: ModelSums;
}

/** Reads the work of one host from its report. */
export function readReportedWork(report: HostReport): HostWork {
  const byServer = new Map<string, RankedTokens[]>();
  for (const [server, urgency, tokens] of report.prefillByRank) {
    const ranked = byServer.get(server) ?? [];
    ranked.push({urgency, tokens});
    byServer.set(server, ranked);
  }
  const {parts, prefill, demands, places = []} = report;
  const loads = report.loads.map(([server, running, tokens]) => ({
    server,
    running,
    // Hosts of the previous release report no ranks.
    prefill: byServer.get(server) ?? [{urgency: 0, tokens}],
  }));
  return {loads, parts, prefill, demands, places, ...readModel(report.model)};
}

/** Reads the work of several hosts from their summary. */
export function readSummarisedWork(summary: WorkSummary): HostWork {
  const {parts, prefill, demands, places = []} = summary;
  const loads = summary.loads.map(([server, running, ranks]) => ({
    server,
    running,
    prefill: ranks.map(([urgency, tokens]) => ({urgency, tokens})),
  }));
  return {
    loads,
    parts,
    prefill,
    demands,
    places,
    ...readModel(summary.model),
  };
}

function readModel(section: ModelSection | undefined): Pick<HostWork, 'model'> {
  return section === undefined ? {} : {model: readModelSection(section).sums};
}
