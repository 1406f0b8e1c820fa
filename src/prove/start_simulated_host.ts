import {
  BookDirectory,
  Bookkeeper,
  getBookOfKey,
  isSlotBook,
  KeyMint,
} from '../journal/index.js';
import {SilentLog} from '../log/index.js';
import {AtMostOnceCalls, AtMostOnceCallsOptions} from '../service/index.js';
import {VirtualClock} from '../time/index.js';
import {CallVariant} from './call_variant.js';
import {FaultyTable} from './faulty_table.js';
import {Gate, GatedClock} from './gate.js';
import {createGatedTable} from './gated_table.js';
import {FakeBackEnd} from './fake_back_end.js';
import {getRequestEntryKey} from './call_request.js';
import {isLive, SimulatedHost} from './simulated_host.js';

/** Dependencies of a simulated host. */
export interface SimulatedHostOptions {
  readonly name: string;
  /** Unique for every incarnation of a host. */
  readonly incarnation: string;
  readonly clock: VirtualClock;
  readonly table: FaultyTable;
  readonly variant: CallVariant;
  readonly backEnd: FakeBackEnd;
  /** Returns all hosts, this one included. */
  readonly listHosts: () => readonly SimulatedHost[];
  /** Sends a request from one host to another. */
  readonly requestPeer: (
    from: string,
    ...request: Parameters<AtMostOnceCallsOptions['requestPeer']>
  ) => ReturnType<AtMostOnceCallsOptions['requestPeer']>;
}

const LEASE_DURATION_MS = 3000;
const WATCH_INTERVAL_MS = 1000;
const RETRY_DELAY_MS = 100;
const RETENTION_MS = 600_000;
/** Number of keys that schedules use. */
const KEY_COUNT = 4;

/** Starts a simulated host with the product's own journal and call handling. */
export function startSimulatedHost(
  options: SimulatedHostOptions,
): SimulatedHost {
  const {name, incarnation} = options;
  const gate = new Gate();
  const clock = new GatedClock(options.clock, gate);
  const log = new SilentLog();
  const directory = new BookDirectory(name);
  const mint = new KeyMint(name, incarnation);
  const stop = new AbortController();
  const bookkeeper = createBookkeeper(options, {gate, clock, directory, mint});
  const calls = new AtMostOnceCalls({
    host: name,
    clock,
    log,
    bookkeeper,
    directory,
    requestPeer: (...request) =>
      gate.call(() => options.requestPeer(name, ...request)),
    mintKey: () => mint.mint(),
  });
  void bookkeeper.watch(stop.signal);
  return {
    name,
    incarnation,
    gate,
    bookkeeper,
    calls,
    directory,
    stop,
    leaving: false,
    cut: false,
    inFlight: 0,
  };
}

/** Components that a bookkeeper shares with the rest of its host. */
interface HostParts {
  readonly gate: Gate;
  readonly clock: GatedClock;
  readonly directory: BookDirectory;
  readonly mint: KeyMint;
}

function createBookkeeper(
  {name, incarnation, table, variant, backEnd, listHosts}: SimulatedHostOptions,
  {gate, clock, directory, mint}: HostParts,
): Bookkeeper {
  const log = new SilentLog();
  const findHost = (to: string) => listHosts().find(host => host.name === to);
  return new Bookkeeper({
    host: name,
    incarnation,
    table: createGatedTable(gate, table),
    clock,
    log,
    directory,
    listLiveHosts: () =>
      listHosts()
        .filter(isLive)
        .map(host => host.name),
    hasTerminated: (other, start) =>
      listHosts().some(
        host => host.name === other && host.incarnation !== start,
      ),
    book: {
      clock,
      log,
      dispatch: order => gate.call(() => backEnd.dispatch(order)),
      lookUp: () => Promise.resolve(undefined),
      mintKey: () => mint.mint(),
      recordTimeoutMs: 1200,
      acceptedRetryMs: 500,
      retentionMs: RETENTION_MS,
    },
    recordsFirst: book =>
      isSlotBook(book) && variant.dispatchesBeforeRecording !== true,
    writesPerSecond: 1000,
    leaseMs: LEASE_DURATION_MS,
    watchMs: WATCH_INTERVAL_MS,
    lingerMs: 20,
    retryMs: RETRY_DELAY_MS,
    retentionMs: RETENTION_MS,
    ownsSlot: isUsedBook,
    sendBook: async (to, handover) => {
      const peer = findHost(to);
      if (peer === undefined || !peer.gate.isRunning()) {
        return false;
      }
      const entries = variant.dropsEntries === true ? [] : handover.entries;
      return peer.bookkeeper.receiveBook({...handover, entries});
    },
    sendOutcome: async (to, book, entry) => {
      const peer = findHost(to);
      return peer?.gate.isRunning() === true && !peer.cut
        ? peer.bookkeeper.addLateOutcome(book, entry)
        : false;
    },
  });
}

/** Returns whether a key of the schedules belongs to the book; other books are skipped. */
function isUsedBook(book: string): boolean {
  for (let key = 0; key < KEY_COUNT; key++) {
    if (getBookOfKey(getRequestEntryKey(`key-${key}`)) === book) {
      return true;
    }
  }
  return false;
}
