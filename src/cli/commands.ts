import {hashKey} from '../caller/index.js';
import {parseRecord} from '../configuration/index.js';
import {AdminClient, AdminResponse} from './admin_client.js';
import {CommandFailure, ExitCode} from './exit_code.js';
import {formatTable, TableRow} from './format_table.js';
import {readRecords} from './read_records.js';

/** Dependencies of the commands. */
export interface CommandContext {
  /** Returns the client; throws `CommandFailure` if no operator key is given. */
  readonly getClient: () => AdminClient;
  /** Whether to print JSON instead of tables. */
  readonly json: boolean;
  /** Writes to standard output. */
  readonly print: (text: string) => void;
}

/** Options of `apply` and `remove`. */
export interface ChangeOptions {
  /** Revision the change is based on; 0 for a new record, the current one by default. */
  readonly ifRevision?: number;
  /** Accepts names that are not known. */
  readonly force?: boolean;
}

/** Response body of a change. */
interface ChangeBody {
  readonly revision: number;
  readonly state: string;
  readonly in_force: readonly string[];
  readonly pending: readonly {readonly data_centre: string}[];
}

/** Response body of a list of records. */
interface ListBody {
  readonly items: readonly {
    readonly name: string;
    readonly revision: number;
    readonly document: Readonly<Record<string, unknown>>;
  }[];
}

const RECORDS_PATH = '/admin/v1/records';
const COLUMNS: Readonly<Record<string, readonly string[]>> = {
  hosts: [
    'host',
    'data_centre',
    'state',
    'alive',
    'heard_ms',
    'revision',
    'books',
  ],
  data_centres: ['data_centre', 'hosts', 'revision'],
  servers: [
    'server',
    'data_centre',
    'runs',
    'state',
    'in_flight',
    'running',
    'waiting',
    'capacity',
    'models',
  ],
};

/** Commands of the tool that call the administration API or work on record files. */
export class Commands {
  constructor(private readonly context: CommandContext) {}

  /** Creates or updates the records in files; returns the exit code. */
  async apply(
    files: readonly string[],
    options: ChangeOptions,
  ): Promise<ExitCode> {
    let code: ExitCode = ExitCode.OK;
    for (const file of files) {
      for (const {document} of await readRecords(file)) {
        const path = getPath(
          String(document['kind']),
          String(document['name']),
        );
        const headers = await this.getPrecondition(path, options);
        const query = options.force === true ? '?force=true' : '';
        const client = this.context.getClient();
        const answer = await client.send(
          'PUT',
          path + query,
          document,
          headers,
        );
        const changed = this.printChange(path, answer);
        code = changed === ExitCode.OK ? code : changed;
      }
    }
    return code;
  }

  /** Deletes a record; returns the exit code. */
  async remove(
    kind: string,
    name: string,
    options: ChangeOptions,
  ): Promise<ExitCode> {
    const path = getPath(kind, name);
    const headers = await this.getPrecondition(path, options);
    const client = this.context.getClient();
    const answer = await client.send('DELETE', path, undefined, headers);
    return this.printChange(path, answer);
  }

  /** Lists the records of a kind, or prints one of them. */
  async get(
    kind: string,
    name: string | undefined,
    schemaVersion: number | undefined,
  ): Promise<ExitCode> {
    const query =
      schemaVersion === undefined ? '' : `?schema_version=${schemaVersion}`;
    const client = this.context.getClient();
    if (name !== undefined) {
      const {body} = await client.get(getPath(kind, name) + query);
      this.printJson(body);
      return ExitCode.OK;
    }
    const {body} = await client.get(
      `${RECORDS_PATH}/${toPlural(kind)}${query}`,
    );
    const {items} = body as ListBody;
    const rows = items.map(item => ({
      name: item.name,
      revision: item.revision,
      schema: item.document['schemaVersion'],
      summary: summarize(item.document),
    }));
    this.printRows(body, rows, ['name', 'revision', 'schema', 'summary']);
    return ExitCode.OK;
  }

  /** Prints all members of a record, and its revision. */
  async describe(kind: string, name: string): Promise<ExitCode> {
    const client = this.context.getClient();
    const answer = await client.get(
      `${getPath(kind, name)}?schema_version=current`,
    );
    if (this.context.json) {
      this.printJson(answer.body);
      return ExitCode.OK;
    }
    const rows = Object.entries(answer.body as TableRow).map(
      ([member, value]) => ({member, value}),
    );
    rows.push({member: 'revision', value: answer.etag ?? ''});
    this.context.print(formatTable(rows, ['member', 'value']));
    return ExitCode.OK;
  }

  /** Prints the state of hosts, data centres and servers, or of one of these. */
  async status(part: string | undefined): Promise<ExitCode> {
    const {body} = await this.context.getClient().get('/admin/v1/status');
    const status = body as Readonly<Record<string, unknown>>;
    const parts = part === undefined ? Object.keys(COLUMNS) : [toPlural(part)];
    if (this.context.json) {
      this.printJson(part === undefined ? body : status[toPlural(part)]);
      return ExitCode.OK;
    }
    for (const name of parts) {
      const columns = COLUMNS[name];
      if (columns === undefined) {
        const known = Object.keys(COLUMNS).join(', ');
        throw new CommandFailure(
          ExitCode.USAGE,
          `there is no status of "${name}"; use one of: ${known}`,
        );
      }
      const rows = status[name] as readonly TableRow[];
      this.context.print(formatTable(rows, columns));
      this.context.print('');
    }
    return ExitCode.OK;
  }

  /** Drains a host or server, so that it gets no new requests, or undrains it. */
  async drain(kind: string, name: string, on: boolean): Promise<ExitCode> {
    const client = this.context.getClient();
    if (kind === 'host') {
      const action = on ? 'drain' : 'undrain';
      const path = `/admin/v1/hosts/${encodeURIComponent(name)}/${action}`;
      const {body} = await client.send('POST', path, {});
      this.printRows(body, [body as TableRow], ['host', 'draining']);
      return ExitCode.OK;
    }
    if (kind !== 'server') {
      throw new CommandFailure(
        ExitCode.USAGE,
        `"${kind}" cannot be drained; use: drain host NAME, or drain server NAME`,
      );
    }
    const path = getPath(kind, name);
    const current = await client.get(path);
    const document = {...(current.body as object), drained: on};
    const headers = {'if-match': current.etag ?? ''};
    const answer = await client.send('PUT', path, document, headers);
    return this.printChange(path, answer);
  }

  /** Validates the records in files, without contacting a host. */
  async validate(files: readonly string[]): Promise<ExitCode> {
    const mistakes: string[] = [];
    const rows: TableRow[] = [];
    for (const file of files) {
      for (const {document} of await readRecords(file)) {
        const parsed = parseRecord(document);
        const name = `${String(document['kind'])}/${String(document['name'])}`;
        rows.push({file, record: name, valid: parsed.isOk});
        if (parsed.isErr) {
          mistakes.push(
            ...parsed.error.map(mistake => `${file}: ${name}: ${mistake}`),
          );
        }
      }
    }
    this.printRows(rows, rows, ['file', 'record', 'valid']);
    if (mistakes.length > 0) {
      throw new CommandFailure(ExitCode.INVALID, mistakes.join('\n'));
    }
    return ExitCode.OK;
  }

  /** Prints the hash of a bearer key, for records and settings. */
  hashKey(key: string): ExitCode {
    this.context.print(hashKey(key));
    return ExitCode.OK;
  }

  private async getPrecondition(
    path: string,
    options: ChangeOptions,
  ): Promise<Record<string, string>> {
    if (options.ifRevision !== undefined) {
      return options.ifRevision === 0
        ? {'if-none-match': '*'}
        : {'if-match': `"r${options.ifRevision}"`};
    }
    try {
      const current = await this.context.getClient().get(path);
      return {'if-match': current.etag ?? ''};
    } catch (error) {
      if (
        error instanceof CommandFailure &&
        error.code === ExitCode.NOT_FOUND
      ) {
        return {'if-none-match': '*'};
      }
      throw error;
    }
  }

  private printChange(path: string, answer: AdminResponse): ExitCode {
    const change = answer.body as ChangeBody;
    const pending = change.pending.map(centre => centre.data_centre);
    const row = {
      record: path.slice(RECORDS_PATH.length + 1),
      revision: change.revision,
      state: change.state,
      in_force: change.in_force,
      pending,
    };
    this.printRows(answer.body, [row], Object.keys(row));
    return change.state === 'in-force' ? ExitCode.OK : ExitCode.PENDING;
  }

  private printRows(
    body: unknown,
    rows: readonly TableRow[],
    columns: readonly string[],
  ): void {
    if (this.context.json) {
      this.printJson(body);
      return;
    }
    this.context.print(formatTable(rows, columns));
  }

  private printJson(value: unknown): void {
    this.context.print(JSON.stringify(value, undefined, 2));
  }
}

function toPlural(kind: string): string {
  const plural = kind.replace('-', '_');
  return plural.endsWith('s') ? plural : `${plural}s`;
}

function getPath(kind: string, name: string): string {
  return `${RECORDS_PATH}/${toPlural(kind)}/${encodeURIComponent(name)}`;
}

function summarize(document: Readonly<Record<string, unknown>>): string {
  const summaryMembers = [
    'target',
    'model',
    'service',
    'dataCentre',
    'address',
    'weight',
  ];
  const parts: string[] = [];
  for (const member of summaryMembers) {
    const value = document[member];
    if (value !== undefined && value !== '') {
      parts.push(
        `${member}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`,
      );
    }
  }
  return parts.join(' ');
}
