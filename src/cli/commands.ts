import {hashKey} from '../caller/index.js';
import {parseRecord} from '../configuration/index.js';
import {AdminAnswer, AdminClient} from './admin_client.js';
import {CommandFailure, ExitCode} from './exit_code.js';
import {formatTable, TableRow} from './format_table.js';
import {readRecords} from './read_records.js';

/** What every command works with. */
export interface CommandContext {
  /** Returns the client; fails when no server or key is given. */
  readonly getClient: () => AdminClient;
  /** Whether to print JSON instead of tables. */
  readonly json: boolean;
  /** Writes to standard output. */
  readonly print: (text: string) => void;
}

/** Options of `apply` and `remove`. */
export interface ChangeOptions {
  /** Revision the change was made on; the current one when left out. */
  readonly ifRevision?: number;
  /** Skips the check that all names are known. */
  readonly force?: boolean;
}

/** Answer to a change. */
interface ChangeBody {
  readonly revision: number;
  readonly state: string;
  readonly in_force: readonly string[];
  readonly pending: readonly {readonly data_centre: string}[];
}

/** Answer to a list of records. */
interface ListBody {
  readonly items: readonly {
    readonly name: string;
    readonly revision: number;
    readonly document: Readonly<Record<string, unknown>>;
  }[];
}

const RECORDS = '/admin/v1/records';
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

/** The commands of the tool. */
export class Commands {
  constructor(private readonly context: CommandContext) {}

  /** Creates or changes the records of files; returns the exit code. */
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

  /** Lists the records of a kind, or shows one. */
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
    const {body} = await client.get(`${RECORDS}/${toPlural(kind)}${query}`);
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

  /** Shows one record in full, with its revision. */
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

  /** Shows the state of hosts, data centres and servers. */
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

  /** Keeps new work from a host or server, or lets it have work again. */
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

  /** Checks the records of files without any host. */
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

  private printChange(path: string, answer: AdminAnswer): ExitCode {
    const change = answer.body as ChangeBody;
    const pending = change.pending.map(centre => centre.data_centre);
    const row = {
      record: path.slice(RECORDS.length + 1),
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
  return `${RECORDS}/${toPlural(kind)}/${encodeURIComponent(name)}`;
}

function summarize(document: Readonly<Record<string, unknown>>): string {
  const shown = [
    'target',
    'model',
    'service',
    'dataCentre',
    'address',
    'weight',
  ];
  const parts: string[] = [];
  for (const member of shown) {
    const value = document[member];
    if (value !== undefined && value !== '') {
      parts.push(
        `${member}=${typeof value === 'object' ? JSON.stringify(value) : String(value)}`,
      );
    }
  }
  return parts.join(' ');
}
