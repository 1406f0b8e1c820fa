import {z} from 'zod';

/** Describes a setting, for the example file, docs/SETTINGS.md and error messages. */
export interface SettingDescription {
  /** Full key, such as "peers.heartbeat_ms". */
  readonly key: string;
  readonly description: string;
  readonly unit: string;
  /** Default as written in TOML; absent when the setting is required. */
  readonly default?: string;
  /** The allowed values, as text. */
  readonly allowed: string;
}

const addressPattern =
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/i;
const ADDRESS_FORMAT = 'an IP number and a port, such as 10.0.0.5:7100';
const URL_FORMAT = 'an http or https URL';

const address = z.string().regex(addressPattern, `must be ${ADDRESS_FORMAT}`);
const url = z
  .string()
  .regex(/^https?:\/\/\S+$/, `must be ${URL_FORMAT}`)
  .transform(text => text.replace(/\/$/, ''));
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits or "-"');
const positiveInteger = (fallback: number) =>
  z.number().int().positive().default(fallback);

const keyHashes = z
  .array(
    z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in lower-case hexadecimal'),
  )
  .min(1, 'must hold at least one hash; see "sedgefall hash-key"');

const MIN_PEER_KEY_LENGTH = 16;

/** Schema of a settings file. */
export const settingsSchema = z.strictObject({
  host: z.strictObject({
    name,
    data_centre: name,
    memory_mb: z.number().int().min(0).default(0),
    descriptors: positiveInteger(1024),
  }),
  callers: z.strictObject({
    address,
    max_body_bytes: positiveInteger(1_048_576),
    service_timeout_ms: positiveInteger(10_000),
    generation_timeout_ms: positiveInteger(120_000),
    max_timeout_ms: positiveInteger(600_000),
    max_header_bytes: positiveInteger(16_384),
  }),
  operators: z.strictObject({address, key_hashes: keyHashes}),
  peers: z.strictObject({
    address,
    advertised: address.optional(),
    key: z
      .string()
      .min(
        MIN_PEER_KEY_LENGTH,
        `must have at least ${MIN_PEER_KEY_LENGTH} characters`,
      ),
    seeds: z.array(address).default([]),
    heartbeat_ms: positiveInteger(1000),
    silence_ms: positiveInteger(1500),
    dead_after_ms: positiveInteger(4000),
    max_frame_bytes: positiveInteger(16_777_216),
  }),
  platform: z.strictObject({
    table_url: url,
    hosts_url: url,
    timeout_ms: positiveInteger(1000),
    poll_ms: positiveInteger(1000),
  }),
  journal: z
    .strictObject({
      retention_seconds: positiveInteger(900),
      record_patience_ms: positiveInteger(1500),
      lease_ms: positiveInteger(4000),
      watch_ms: positiveInteger(1000),
      linger_ms: positiveInteger(50),
      writes_per_second: positiveInteger(200),
    })
    .prefault({}),
  engines: z
    .strictObject({
      poll_ms: positiveInteger(1000),
      first_token_silence_ms: positiveInteger(8000),
      silence_ms: positiveInteger(2000),
      unread_ms: positiveInteger(15_000),
      keep_ms: positiveInteger(120_000),
    })
    .prefault({}),
  drain: z
    .strictObject({
      notice_ms: z.number().int().min(0).default(2000),
      grace_ms: positiveInteger(20_000),
    })
    .prefault({}),
  configuration: z
    .strictObject({
      poll_ms: positiveInteger(1000),
      in_force_ms: positiveInteger(4000),
    })
    .prefault({}),
});

/** Validated settings of a daemon. */
export type Settings = z.output<typeof settingsSchema>;

const MS = 'milliseconds';
const POSITIVE_INTEGER = 'a whole number above 0';

/** Descriptions of all settings, in the order of the example file. */
export const SETTING_DESCRIPTIONS: readonly SettingDescription[] = [
  {
    key: 'host.name',
    description: 'Name of this host, unique among all entry hosts.',
    unit: 'text',
    allowed: 'lower-case letters, digits and "-"',
  },
  {
    key: 'host.data_centre',
    description: 'Data centre of this host.',
    unit: 'text',
    allowed: 'lower-case letters, digits and "-"',
  },
  {
    key: 'host.memory_mb',
    description:
      'Memory of this host, which bounds what is held for callers; 0 for that of the machine.',
    unit: 'MB',
    default: '0',
    allowed: 'a whole number, 0 or above',
  },
  {
    key: 'host.descriptors',
    description:
      'Descriptors that the process may open (ulimit -n); callers get half of them, less 200.',
    unit: 'descriptors',
    default: '1024',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'callers.address',
    description: 'Listen address for callers (HTTP).',
    unit: 'address',
    allowed: ADDRESS_FORMAT,
  },
  {
    key: 'callers.max_body_bytes',
    description: 'Largest request body accepted.',
    unit: 'bytes',
    default: '1048576',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'callers.service_timeout_ms',
    description: 'Default deadline of a service call.',
    unit: MS,
    default: '10000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'callers.generation_timeout_ms',
    description: 'Default deadline of a generation.',
    unit: MS,
    default: '120000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'callers.max_timeout_ms',
    description: 'Longest deadline that a caller may request.',
    unit: MS,
    default: '600000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'callers.max_header_bytes',
    description: 'Largest request header accepted.',
    unit: 'bytes',
    default: '16384',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'operators.address',
    description:
      'Listen address for operators, the load balancer and metrics (HTTP).',
    unit: 'address',
    allowed: ADDRESS_FORMAT,
  },
  {
    key: 'operators.key_hashes',
    description:
      'SHA-256 of each operator key; computed by "sedgefall hash-key".',
    unit: 'hexadecimal',
    allowed: 'one or more SHA-256 values',
  },
  {
    key: 'peers.address',
    description: 'Listen address for peers (TCP).',
    unit: 'address',
    allowed: ADDRESS_FORMAT,
  },
  {
    key: 'peers.advertised',
    description:
      'Address that peers connect to, if it differs from peers.address.',
    unit: 'address',
    default: 'peers.address',
    allowed: ADDRESS_FORMAT,
  },
  {
    key: 'peers.key',
    description: 'Key shared by all entry hosts.',
    unit: 'text',
    allowed: 'at least 16 characters',
  },
  {
    key: 'peers.seeds',
    description: 'Addresses of peers to connect to while no peer is connected.',
    unit: 'addresses',
    default: '[]',
    allowed: `a list of ${ADDRESS_FORMAT}`,
  },
  {
    key: 'peers.heartbeat_ms',
    description: 'Interval between heartbeats on a connection.',
    unit: MS,
    default: '1000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'peers.silence_ms',
    description:
      'Time limit for a heartbeat reply; then the connection is replaced.',
    unit: MS,
    default: '1500',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'peers.dead_after_ms',
    description: 'Time without contact after which a host is considered dead.',
    unit: MS,
    default: '4000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'peers.max_frame_bytes',
    description: 'Largest frame accepted from a peer.',
    unit: 'bytes',
    default: '16777216',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'platform.table_url',
    description: "Base URL of the platform's table service.",
    unit: 'URL',
    allowed: URL_FORMAT,
  },
  {
    key: 'platform.hosts_url',
    description: "Base URL of the platform's host list and notices.",
    unit: 'URL',
    allowed: URL_FORMAT,
  },
  {
    key: 'platform.timeout_ms',
    description: 'Time limit for one call to the platform.',
    unit: MS,
    default: '1000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'platform.poll_ms',
    description:
      'Interval between reads of the host list and the reclaim notices.',
    unit: MS,
    default: '1000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'journal.retention_seconds',
    description:
      'How long an idempotency key is remembered; then it counts as new.',
    unit: 'seconds',
    default: '900',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'journal.record_patience_ms',
    description: 'Longest wait for the record of a call to become durable.',
    unit: MS,
    default: '1500',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'journal.lease_ms',
    description:
      'Time without renewal after which another host may take over a book.',
    unit: MS,
    default: '4000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'journal.watch_ms',
    description: 'Interval between reads of the books in the table.',
    unit: MS,
    default: '1000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'journal.linger_ms',
    description:
      'Longest delay of an outcome, to write it together with others.',
    unit: MS,
    default: '50',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'journal.writes_per_second',
    description: 'Limit on the writes to the table by all hosts together.',
    unit: 'per second',
    default: '200',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'engines.poll_ms',
    description: 'Interval between reads of the load report of a server.',
    unit: MS,
    default: '1000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'engines.first_token_silence_ms',
    description:
      'Time without a first token after which another server is tried.',
    unit: MS,
    default: '8000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'engines.silence_ms',
    description:
      'Time without a next token after which another server is tried.',
    unit: MS,
    default: '2000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'engines.unread_ms',
    description:
      'How long a generation continues after its caller disconnects.',
    unit: MS,
    default: '15000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'engines.keep_ms',
    description: 'How long a finished generation can be retrieved again.',
    unit: MS,
    default: '120000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'drain.notice_ms',
    description: 'Time between announcing a drain and refusing new work.',
    unit: MS,
    default: '2000',
    allowed: 'a whole number, 0 or more',
  },
  {
    key: 'drain.grace_ms',
    description: 'Longest time that a shutdown waits for work in flight.',
    unit: MS,
    default: '20000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'configuration.poll_ms',
    description: "Interval between reads of the configuration's revision.",
    unit: MS,
    default: '1000',
    allowed: POSITIVE_INTEGER,
  },
  {
    key: 'configuration.in_force_ms',
    description: 'Longest wait for a change to be in force everywhere.',
    unit: MS,
    default: '4000',
    allowed: POSITIVE_INTEGER,
  },
];
