import {LogLine} from './log_line.js';
import {RequestHistory} from './request_history.js';

const UNKNOWN = 'unknown';

/** Groups log lines of any number of hosts by request. */
export class RequestHistories {
  private readonly histories = new Map<string, LogLine[]>();
  private readonly dataCentres = new Map<string, string>();

  /** Adds a line; the lines of each host must be added in log order. */
  add(line: LogLine): void {
    const host = getHost(line);
    const dataCentre = line.members.get('data_centre');
    if (line.event === 'started' && dataCentre !== undefined) {
      this.dataCentres.set(host, dataCentre);
    }
    const id = line.members.get('request');
    if (id === undefined || id === '') {
      return;
    }
    const key = `${id} ${host}`;
    const lines = this.histories.get(key) ?? [];
    lines.push(line);
    this.histories.set(key, lines);
  }

  /** Returns the data centre of a host, or `unknown` if no line logs its start. */
  getDataCentre(host: string): string {
    return this.dataCentres.get(host) ?? UNKNOWN;
  }

  /** Lists all requests, or those with an id, in the order of their first lines. */
  list(id?: string): RequestHistory[] {
    const listed: RequestHistory[] = [];
    for (const lines of this.histories.values()) {
      const first = lines[0];
      const own = first?.members.get('request') ?? '';
      if (first !== undefined && (id === undefined || own === id)) {
        listed.push({id: own, host: getHost(first), lines});
      }
    }
    return listed;
  }
}

function getHost(line: LogLine): string {
  return line.members.get('host') ?? UNKNOWN;
}
