/** Bindings of at-most-once calls: books, dispatch and exchange with peers. */
import {Container, ResolutionContext} from 'inversify';
import {Result} from 'true-myth';
import {ConfigurationStore} from '../../configuration/index.js';
import {
  BookDirectory,
  Bookkeeper,
  isSlotBook,
  KeyMint,
} from '../../journal/index.js';
import {Membership} from '../../membership/index.js';
import {PeerFailure, Peers} from '../../peer/index.js';
import {TerminatedServers, Quarantine} from '../../quarantine/index.js';
import {RetryBudget, ServerDirectory} from '../../routing/index.js';
import {AtMostOnceCalls, ServiceDispatcher} from '../../service/index.js';
import {CLOCK, LOG, RANDOM, SELF, SETTINGS, TABLE} from '../identifiers.js';
import {bind} from '../../container/index.js';
import {createIsLeaving} from './create_is_leaving.js';

/** Pause between attempts of an accepted call, in milliseconds. */
const ACCEPTED_RETRY_MS = 1000;
const JOURNAL_RETRY_MS = 100;
const MS_PER_SECOND = 1000;

/** Binds the journal and the dispatch of service calls. */
export function bindJournal(container: Container): void {
  bind(
    container,
    BookDirectory,
    context => new BookDirectory(context.get(SELF).host),
  );
  bind(container, KeyMint, context => {
    const {host, incarnation} = context.get(SELF);
    return new KeyMint(host, incarnation);
  });
  bind(
    container,
    ServiceDispatcher,
    context =>
      new ServiceDispatcher({
        clock: context.get(CLOCK),
        log: context.get(LOG),
        random: context.get(RANDOM),
        configuration: context.get(ConfigurationStore),
        directory: context.get(ServerDirectory),
        budget: context.get(RetryBudget),
        quarantine: context.get(Quarantine),
        terminatedServers: context.get(TerminatedServers),
        isLeaving: createIsLeaving(context),
        dataCentre: context.get(SELF).dataCentre,
      }),
  );
  bind(container, Bookkeeper, context => createBookkeeper(container, context));
  bind(
    container,
    AtMostOnceCalls,
    context =>
      new AtMostOnceCalls({
        host: context.get(SELF).host,
        clock: context.get(CLOCK),
        log: context.get(LOG),
        bookkeeper: context.get(Bookkeeper),
        directory: context.get(BookDirectory),
        requestPeer: (host, body, timeoutMs) =>
          container.get(Peers).request(host, body, timeoutMs),
        mintKey: () => context.get(KeyMint).mint(),
      }),
  );
}

function createBookkeeper(
  container: Container,
  context: ResolutionContext,
): Bookkeeper {
  const {journal} = context.get(SETTINGS);
  const self = context.get(SELF);
  const dispatcher = context.get(ServiceDispatcher);
  const directory = context.get(BookDirectory);
  const membership = context.get(Membership);
  const mint = context.get(KeyMint);
  const retentionMs = journal.retention_seconds * MS_PER_SECOND;
  const clock = context.get(CLOCK);
  const log = context.get(LOG);
  return new Bookkeeper({
    host: self.host,
    incarnation: self.incarnation,
    table: context.get(TABLE),
    clock,
    log,
    directory,
    listLiveHosts: () => membership.listLiveNames(),
    hasTerminated: (host, incarnation) =>
      membership.isTerminated(host, incarnation),
    book: {
      clock,
      log,
      dispatch: order => dispatcher.dispatchOnce(order),
      lookUp: (deployment, key) => dispatcher.lookUp(deployment, key),
      mintKey: () => mint.mint(),
      recordTimeoutMs: journal.record_patience_ms,
      acceptedRetryMs: ACCEPTED_RETRY_MS,
      retentionMs,
    },
    recordsFirst: isSlotBook,
    writesPerSecond: journal.writes_per_second,
    leaseMs: journal.lease_ms,
    watchMs: journal.watch_ms,
    lingerMs: journal.linger_ms,
    retryMs: JOURNAL_RETRY_MS,
    retentionMs,
    sendBook: async (host, book) => {
      const body = {kind: 'take-book', book};
      const reply = await container
        .get(Peers)
        .request(host, body, 2 * MS_PER_SECOND);
      return isAccepted(reply);
    },
    sendOutcome: async (host, book, entry) => {
      const body = {kind: 'late-outcome', book, entry};
      return isAccepted(
        await container.get(Peers).request(host, body, MS_PER_SECOND),
      );
    },
  });
}

/** Returns whether a peer replied that it has accepted what it was sent. */
function isAccepted(reply: Result<unknown, PeerFailure>): boolean {
  return reply.isOk && (reply.value as {taken?: boolean}).taken === true;
}
