import {z} from 'zod';

/** What a setting is, for the example file, docs/SETTINGS.md and messages. */
export interface SettingDescription {
  /** Full key, such as "peers.heartbeat_ms". */
  readonly key: string;
  readonly description: string;
  readonly unit: string;
  /** Default as written in TOML; absent when the setting is required. */
  readonly default?: string;
  /** Values allowed, in words. */
  readonly allowed: string;
}

const addressPattern =
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/i;
const addressWords = 'an IP number and a port, such as 10.0.0.5:7100';
const urlWords = 'an http or https URL';

const address = z.string().regex(addressPattern, `must be ${addressWords}`);
const url = z
  .string()
  .regex(/^https?:\/\/\S+$/, `must be ${urlWords}`)
  .transform(text => text.replace(/\/$/, ''));
const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits or "-"');
const positive = (fallback: number) =>
  z.number().int().positive().default(fallback);

const keyHashes = z
  .array(
    z
      .string()
      .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in lower-case hexadecimal'),
  )
  .min(1, 'must hold at least one hash; see "sedgefall hash-key"');

const MIN_PEER_KEY = 16;

/** Schema of a settings file. */
export const settingsSchema = z.strictObject({
  host: z.strictObject({name, data_centre: name}),
  callers: z.strictObject({
    address,
    max_body_bytes: positive(1_048_576),
    service_timeout_ms: positive(10_000),
    generation_timeout_ms: positive(120_000),
    max_timeout_ms: positive(600_000),
    max_header_bytes: positive(16_384),
  }),
  operators: z.strictObject({address, key_hashes: keyHashes}),
  peers: z.strictObject({
    address,
    advertised: address.optional(),
    key: z
      .string()
      .min(MIN_PEER_KEY, `must have at least ${MIN_PEER_KEY} characters`),
    seeds: z.array(address).default([]),
    heartbeat_ms: positive(1000),
    silence_ms: positive(1500),
    dead_after_ms: positive(4000),
    max_frame_bytes: positive(16_777_216),
  }),
  platform: z.strictObject({
    table_url: url,
    hosts_url: url,
    timeout_ms: positive(1000),
    poll_ms: positive(1000),
  }),
  journal: z
    .strictObject({
      retention_seconds: positive(900),
      record_patience_ms: positive(1500),
      lease_ms: positive(4000),
      watch_ms: positive(1000),
      linger_ms: positive(50),
      writes_per_second: positive(200),
    })
    .prefault({}),
  engines: z
    .strictObject({
      poll_ms: positive(1000),
      first_token_silence_ms: positive(8000),
      silence_ms: positive(2000),
      unread_ms: positive(15_000),
      keep_ms: positive(120_000),
    })
    .prefault({}),
  drain: z
    .strictObject({
      notice_ms: z.number().int().min(0).default(2000),
      grace_ms: positive(20_000),
    })
    .prefault({}),
  configuration: z
    .strictObject({poll_ms: positive(1000), in_force_ms: positive(4000)})
    .prefault({}),
});

/** Checked settings of a daemon. */
export type Settings = z.output<typeof settingsSchema>;

const MS = 'milliseconds';
const whole = 'a whole number above 0';

/** Every setting, in the order of the example file. */
export const SETTING_DESCRIPTIONS: readonly SettingDescription[] = [
  {
    key: 'host.name',
    description: 'Name of this host, unique among all entry hosts.',
    unit: 'text',
    allowed: 'lower-case letters, digits and "-"',
  },
  {
    key: 'host.data_centre',
    description: 'Data centre this host stands in.',
    unit: 'text',
    allowed: 'lower-case letters, digits and "-"',
  },
  {
    key: 'callers.address',
    description: 'Where callers are served (HTTP).',
    unit: 'address',
    allowed: addressWords,
  },
  {
    key: 'callers.max_body_bytes',
    description: 'Largest request body accepted.',
    unit: 'bytes',
    default: '1048576',
    allowed: whole,
  },
  {
    key: 'callers.service_timeout_ms',
    description: 'Deadline of a service call that names none.',
    unit: MS,
    default: '10000',
    allowed: whole,
  },
  {
    key: 'callers.generation_timeout_ms',
    description: 'Deadline of a generation that names none.',
    unit: MS,
    default: '120000',
    allowed: whole,
  },
  {
    key: 'callers.max_timeout_ms',
    description: 'Latest deadline a caller may name.',
    unit: MS,
    default: '600000',
    allowed: whole,
  },
  {
    key: 'callers.max_header_bytes',
    description: 'Largest request head accepted.',
    unit: 'bytes',
    default: '16384',
    allowed: whole,
  },
  {
    key: 'operators.address',
    description: 'Where operators, the balancer and metrics are served (HTTP).',
    unit: 'address',
    allowed: addressWords,
  },
  {
    key: 'operators.key_hashes',
    description:
      'SHA-256 of each operator key; "sedgefall hash-key" makes them.',
    unit: 'hexadecimal',
    allowed: 'one or more SHA-256 values',
  },
  {
    key: 'peers.address',
    description: 'Where peers are served (TCP).',
    unit: 'address',
    allowed: addressWords,
  },
  {
    key: 'peers.advertised',
    description: 'Address told to peers, where it differs from peers.address.',
    unit: 'address',
    default: 'peers.address',
    allowed: addressWords,
  },
  {
    key: 'peers.key',
    description: 'Key shared by all entry hosts.',
    unit: 'text',
    allowed: 'at least 16 characters',
  },
  {
    key: 'peers.seeds',
    description: 'Peers to try while the platform gives no list.',
    unit: 'addresses',
    default: '[]',
    allowed: `a list of ${addressWords}`,
  },
  {
    key: 'peers.heartbeat_ms',
    description: 'Pause between heartbeats on a connection.',
    unit: MS,
    default: '1000',
    allowed: whole,
  },
  {
    key: 'peers.silence_ms',
    description: 'Unanswered heartbeat after which a connection is replaced.',
    unit: MS,
    default: '1500',
    allowed: whole,
  },
  {
    key: 'peers.dead_after_ms',
    description: 'Silence after which a host counts as dead.',
    unit: MS,
    default: '4000',
    allowed: whole,
  },
  {
    key: 'peers.max_frame_bytes',
    description: 'Largest frame accepted from a peer.',
    unit: 'bytes',
    default: '16777216',
    allowed: whole,
  },
  {
    key: 'platform.table_url',
    description: "Base URL of the platform's table service.",
    unit: 'URL',
    allowed: urlWords,
  },
  {
    key: 'platform.hosts_url',
    description: "Base URL of the platform's host list and notices.",
    unit: 'URL',
    allowed: urlWords,
  },
  {
    key: 'platform.timeout_ms',
    description: 'Limit on one call to the platform.',
    unit: MS,
    default: '1000',
    allowed: whole,
  },
  {
    key: 'platform.poll_ms',
    description: 'Pause between two looks at the host list and notices.',
    unit: MS,
    default: '1000',
    allowed: whole,
  },
  {
    key: 'journal.retention_seconds',
    description: 'How long a key is remembered; later it counts as new.',
    unit: 'seconds',
    default: '900',
    allowed: whole,
  },
  {
    key: 'journal.record_patience_ms',
    description: 'Longest wait for the record of a call to become durable.',
    unit: MS,
    default: '1500',
    allowed: whole,
  },
  {
    key: 'journal.lease_ms',
    description: 'Silence of a book after which another host may take it.',
    unit: MS,
    default: '4000',
    allowed: whole,
  },
  {
    key: 'journal.watch_ms',
    description: 'Pause between two looks at the books in the table.',
    unit: MS,
    default: '1000',
    allowed: whole,
  },
  {
    key: 'journal.linger_ms',
    description: 'Longest wait of an outcome for others to be written with.',
    unit: MS,
    default: '50',
    allowed: whole,
  },
  {
    key: 'journal.writes_per_second',
    description: 'Writes to the table that all hosts together may spend.',
    unit: 'per second',
    default: '200',
    allowed: whole,
  },
  {
    key: 'engines.poll_ms',
    description: 'Pause between two load reports of a server.',
    unit: MS,
    default: '1000',
    allowed: whole,
  },
  {
    key: 'engines.first_token_silence_ms',
    description: 'Silence before the first token after which another is tried.',
    unit: MS,
    default: '8000',
    allowed: whole,
  },
  {
    key: 'engines.silence_ms',
    description: 'Silence between tokens after which another is tried.',
    unit: MS,
    default: '2000',
    allowed: whole,
  },
  {
    key: 'engines.unread_ms',
    description: 'How long a generation goes on after its caller has gone.',
    unit: MS,
    default: '15000',
    allowed: whole,
  },
  {
    key: 'engines.keep_ms',
    description: 'How long a finished generation can be asked for again.',
    unit: MS,
    default: '120000',
    allowed: whole,
  },
  {
    key: 'drain.notice_ms',
    description: 'Time given to the balancer before new work is refused.',
    unit: MS,
    default: '2000',
    allowed: 'a whole number, 0 or more',
  },
  {
    key: 'drain.grace_ms',
    description: 'Longest time that work in flight holds up a stop.',
    unit: MS,
    default: '20000',
    allowed: whole,
  },
  {
    key: 'configuration.poll_ms',
    description: "Pause between two looks at the configuration's revision.",
    unit: MS,
    default: '1000',
    allowed: whole,
  },
  {
    key: 'configuration.in_force_ms',
    description: 'Longest wait for a change to be in force everywhere.',
    unit: MS,
    default: '4000',
    allowed: whole,
  },
];
