import {
  BookDirectory,
  Bookkeeper,
  getBookOfKey,
  isSlotBook,
  KeyMint,
} from '../journal/index.js';
import {SilentLog} from '../log/index.js';
import {OnceCalls, OnceCallsOptions} from '../service/index.js';
import {VirtualClock} from '../time/index.js';
import {CallVariant} from './call_variant.js';
import {FaultyTable} from './faulty_table.js';
import {Gate, GatedClock} from './gate.js';
import {ProofBackEnd} from './proof_back_end.js';
import {getProofEntryKey} from './proof_call.js';
import {isLive, ProofHost} from './proof_host.js';

/** What a host of a proof is made of. */
export interface ProofHostOptions {
  readonly name: string;
  /** Differs for every start. */
  readonly incarnation: string;
  readonly clock: VirtualClock;
  readonly table: FaultyTable;
  readonly variant: CallVariant;
  readonly backEnd: ProofBackEnd;
  /** Returns all hosts, this one included. */
  readonly listHosts: () => readonly ProofHost[];
  /** Sends a request from one host to another. */
  readonly requestPeer: (
    from: string,
    ...request: Parameters<OnceCallsOptions['requestPeer']>
  ) => ReturnType<OnceCallsOptions['requestPeer']>;
}

const LEASE_MS = 3000;
const WATCH_MS = 1000;
const RETRY_MS = 100;
const RETENTION_MS = 600_000;
/** Keys that schedules use. */
const KEYS = 4;

/** Starts a host of the product's own books and calls. */
export function startProofHost(options: ProofHostOptions): ProofHost {
  const {name, incarnation} = options;
  const gate = new Gate();
  const clock = new GatedClock(options.clock, gate);
  const log = new SilentLog();
  const directory = new BookDirectory(name);
  const mint = new KeyMint(name, incarnation);
  const stop = new AbortController();
  const bookkeeper = createBookkeeper(options, {gate, clock, directory, mint});
  const calls = new OnceCalls({
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

/** What a bookkeeper shares with the rest of its host. */
interface HostParts {
  readonly gate: Gate;
  readonly clock: GatedClock;
  readonly directory: BookDirectory;
  readonly mint: KeyMint;
}

function createBookkeeper(
  {name, incarnation, table, variant, backEnd, listHosts}: ProofHostOptions,
  {gate, clock, directory, mint}: HostParts,
): Bookkeeper {
  const log = new SilentLog();
  const find = (to: string) => listHosts().find(host => host.name === to);
  return new Bookkeeper({
    host: name,
    incarnation,
    table: {
      get: key => gate.call(() => table.get(key)),
      list: prefix => gate.call(() => table.list(prefix)),
      transact: steps => gate.call(() => table.transact(steps)),
    },
    clock,
    log,
    directory,
    listLiveHosts: () =>
      listHosts()
        .filter(isLive)
        .map(host => host.name),
    isGone: (other, start) =>
      listHosts().some(
        host => host.name === other && host.incarnation !== start,
      ),
    book: {
      clock,
      log,
      dispatch: order => gate.call(() => backEnd.dispatch(order)),
      lookUp: () => Promise.resolve(undefined),
      mintKey: () => mint.mint(),
      recordPatienceMs: 1200,
      acceptedRetryMs: 500,
      retentionMs: RETENTION_MS,
    },
    recordsFirst: book => isSlotBook(book) && variant.dispatchesFirst !== true,
    writesPerSecond: 1000,
    leaseMs: LEASE_MS,
    watchMs: WATCH_MS,
    lingerMs: 20,
    retryMs: RETRY_MS,
    retentionMs: RETENTION_MS,
    ownsSlot: isUsed,
    sendBook: async (to, handover) => {
      const peer = find(to);
      if (peer === undefined || !peer.gate.isOpen()) {
        return false;
      }
      const entries = variant.dropsEntries === true ? [] : handover.entries;
      return peer.bookkeeper.receiveBook({...handover, entries});
    },
    sendOutcome: async (to, book, entry) => {
      const peer = find(to);
      return peer?.gate.isOpen() === true && !peer.cut
        ? peer.bookkeeper.addLateOutcome(book, entry)
        : false;
    },
  });
}

/** Only the books that the keys of schedules fall into are worked with. */
function isUsed(book: string): boolean {
  for (let key = 0; key < KEYS; key++) {
    if (getBookOfKey(getProofEntryKey(`key-${key}`)) === book) {
      return true;
    }
  }
  return false;
}
