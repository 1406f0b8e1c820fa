import {Problem, problems, ExecutionStatus} from '../errors/index.js';
import {Log} from '../log/index.js';
import {Clock} from '../time/index.js';
import {
  CallOrder,
  CallOutcome,
  Dispatch,
  DispatchKind,
  DispatchResult,
  Lookup,
  OutcomeKind,
} from './call_order.js';
import {
  Entry,
  EntryState,
  RecordedAnswer,
  withAttempt,
  withEndedAttempts,
} from './entry.js';
import {AppendFailure, Journal} from './journal.js';
import {LiveEntry, track} from './live_entry.js';
import {createRecordedOrder, splitEntryKey} from './recorded_order.js';

/** Options of a book. */
export interface BookOptions {
  /** Incarnation of this host; makes the ids of attempts unique. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly dispatch: Dispatch;
  readonly lookUp: Lookup;
  /** Mints a key that works without the table, offered while the table is unavailable. */
  readonly mintKey: () => string;
  /** Longest wait for a record to become durable, in milliseconds. */
  readonly recordTimeoutMs: number;
  /** Pause between attempts at an accepted call, in milliseconds. */
  readonly acceptedRetryMs: number;
  /** Retention of entries, in milliseconds. */
  readonly retentionMs: number;
  /**
   * Whether a call is recorded before it is dispatched. A slot book, which holds a
   * part of the keys that callers choose, needs this because other hosts can take
   * it over. A host book, which holds the keys minted by one incarnation of a host,
   * does not, because only this host runs calls under them.
   */
  readonly recordsFirst: boolean;
  /**
   * Called with an entry whose outcome could not be recorded because the journal is
   * fenced. Also called with an accepted entry, without an outcome, when this host
   * no longer tries to run its call: after the retention, or once the book is closed
   * or its journal fenced.
   */
  readonly onUnrecordedEntry: (book: string, entry: Entry) => void;
}

/**
 * Runs the calls of one book, each at most once.
 *
 * Only the holder of a book dispatches its calls. Where `recordsFirst` is set, and
 * for every call that was accepted to run later, it does so only after the record of
 * the dispatch is durable. A host that takes the book over reads that record and
 * does not dispatch the call again, unless it learns that no server received it.
 */
export class Book {
  private readonly entries = new Map<string, LiveEntry>();
  private closed = false;
  private attempts = 0;

  /**
   * @param id - Name of the book.
   * @param journal - Writes its entries.
   * @param entries - Entries read from the table or received from a peer.
   */
  constructor(
    readonly id: string,
    readonly journal: Journal,
    entries: Iterable<Entry>,
    private readonly options: BookOptions,
  ) {
    for (const entry of entries) {
      this.entries.set(entry.key, {
        entry,
        durable: true,
        accepted: entry.state === EntryState.ACCEPTED,
        refusals: new Map(),
      });
    }
  }

  /** Returns the entry of a key; `undefined` if there is none. */
  getEntry(entryKey: string): Entry | undefined {
    return this.entries.get(entryKey)?.entry;
  }

  /**
   * Returns the entries to hand over to another host. Omits the entries of calls
   * that wait for their record to become durable: these have not been dispatched,
   * and this host never will.
   */
  listEntries(): Entry[] {
    const entries: Entry[] = [];
    for (const live of this.entries.values()) {
      if (live.durable || live.pending === undefined) {
        entries.push(live.entry);
      }
    }
    return entries;
  }

  /** Returns whether the book has no entries. */
  isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /**
   * Returns the number of calls in progress on this host, including those that wait
   * for their record or for the next attempt.
   */
  countPending(): number {
    let count = 0;
    for (const live of this.entries.values()) {
      if (live.pending !== undefined) {
        count++;
      }
    }
    return count;
  }

  /**
   * Writes every entry again whose state is not `dispatched`. Used after a failed
   * handover: entries that were added while the journal was released were not
   * written, and a write that was in progress may or may not have taken effect.
   */
  rewriteEntries(): void {
    for (const live of this.entries.values()) {
      if (live.entry.state !== EntryState.DISPATCHED) {
        void this.journal.add(live.entry);
      }
    }
  }

  /**
   * Closes the book for a handover: it accepts no further calls. Calls in progress
   * continue, but an accepted call gets no further attempts.
   */
  close(): void {
    this.closed = true;
  }

  /** Dispatches the calls that an earlier holder accepted but did not dispatch. */
  resumeAccepted(): void {
    for (const live of this.entries.values()) {
      if (live.entry.state === EntryState.ACCEPTED) {
        const order = this.createAcceptedOrder(live.entry);
        void track(live, this.executeAccepted(live, order));
      }
    }
  }

  /** Waits until no call is in progress on this host; see `countPending`. */
  async waitForPending(): Promise<void> {
    for (const live of this.entries.values()) {
      while (live.pending !== undefined) {
        await live.pending;
      }
    }
  }

  /**
   * Runs a call, or returns its outcome if its key is already recorded. A call that
   * was refused is run again, unless it is a copy of the request that was refused.
   * @param order - The call.
   * @returns The outcome; `MOVED` if the book is closed or its journal is fenced.
   */
  async run(order: CallOrder): Promise<CallOutcome> {
    if (this.isClosed()) {
      return {kind: OutcomeKind.MOVED};
    }
    const known = this.entries.get(order.entryKey);
    if (known !== undefined) {
      if (known.entry.fingerprint !== order.fingerprint) {
        return fail(problems.keyReused());
      }
      if (known.pending !== undefined) {
        return this.join(known, order);
      }
      if (known.entry.state !== EntryState.REFUSED) {
        return this.replay(known);
      }
      const refusal = known.refusals.get(order.instance);
      if (refusal !== undefined) {
        return fail(refusal);
      }
    }
    const live: LiveEntry = {
      entry: this.createEntry(order, EntryState.DISPATCHED),
      durable: !this.options.recordsFirst,
      accepted: false,
      refusals: known?.refusals ?? new Map<string, Problem>(),
    };
    this.entries.set(order.entryKey, live);
    if (order.respondAsync) {
      return this.accept(live, order);
    }
    return track(live, this.execute(live, order));
  }

  /**
   * Returns the outcome of a call without running it.
   * @param entryKey - Key of the entry.
   * @returns The outcome; `undefined` if the key is not recorded.
   */
  async getOutcome(entryKey: string): Promise<CallOutcome | undefined> {
    const known = this.entries.get(entryKey);
    if (known === undefined) {
      return undefined;
    }
    return known.pending === undefined
      ? this.replay(known)
      : {kind: OutcomeKind.ACCEPTED};
  }

  /**
   * Adds an entry that an earlier holder of the book could no longer record; see
   * `BookOptions.onUnrecordedEntry`. It replaces the entry known here only if it
   * names the dispatch of that entry, and the outcome of that dispatch is not known.
   * @param entry - The entry as that holder knows it.
   */
  addDeliveredOutcome(entry: Entry): void {
    const known = this.entries.get(entry.key);
    if (known === undefined) {
      return;
    }
    const matchesAttempt =
      known.entry.attempt !== '' &&
      [entry.attempt, ...(entry.ended ?? [])].includes(known.entry.attempt);
    const isOpen =
      known.entry.state === EntryState.DISPATCHED ||
      known.entry.state === EntryState.UNKNOWN;
    if (!isOpen || !matchesAttempt || known.pending !== undefined) {
      const ended = [entry.attempt, ...(entry.ended ?? [])];
      if (entry.state === EntryState.ACCEPTED) {
        // Lists these dispatches as ended, for a later holder of the book that finds
        // their records in the table.
        known.entry = withEndedAttempts(known.entry, ended);
      }
      return;
    }
    known.entry = entry;
    void this.journal.add(entry);
    if (entry.state === EntryState.ACCEPTED) {
      known.accepted = true;
      const order = this.createAcceptedOrder(entry);
      void track(known, this.executeAccepted(known, order));
    }
  }

  /** Removes entries that are older than the retention. */
  trim(): void {
    const oldestMs =
      this.options.clock.now().getTime() - this.options.retentionMs;
    for (const [key, live] of this.entries) {
      if (live.pending === undefined && live.entry.atMs < oldestMs) {
        this.entries.delete(key);
      }
    }
  }

  /**
   * Returns whether this host runs no further calls of the book: it is closed for a
   * handover, or its journal is fenced.
   */
  private isClosed(): boolean {
    return this.closed || this.journal.isFenced();
  }

  private async accept(
    live: LiveEntry,
    order: CallOrder,
  ): Promise<CallOutcome> {
    live.entry = {
      ...this.createEntry(order, EntryState.ACCEPTED),
      call: {
        method: order.call.method,
        path: order.call.path,
        contentType: order.call.contentType,
        bodyBase64: Buffer.from(order.call.body).toString('base64'),
      },
    };
    const outcome = await track(live, this.recordAccepted(live, order));
    if (outcome.kind === OutcomeKind.ACCEPTED) {
      void track(live, this.executeAccepted(live, order));
    }
    return outcome;
  }

  private async recordAccepted(
    live: LiveEntry,
    order: CallOrder,
  ): Promise<CallOutcome> {
    const recorded = await this.journal.append(
      live.entry,
      this.getRecordTimeoutMs(order),
      () => {
        live.durable = true;
        live.accepted = true;
      },
    );
    if (recorded.isErr) {
      return this.refuseUnrecorded(live, order, recorded.error);
    }
    return {kind: OutcomeKind.ACCEPTED};
  }

  /**
   * Runs an accepted call. It is attempted beyond the caller's deadline, until the
   * retention ends, the book is closed or the journal is fenced.
   */
  private async executeAccepted(
    live: LiveEntry,
    order: CallOrder,
  ): Promise<CallOutcome> {
    const {clock, acceptedRetryMs, retentionMs} = this.options;
    const endMs = clock.monotonicMs() + retentionMs;
    while (clock.monotonicMs() < endMs && !this.isClosed()) {
      const dispatchedEntry = this.createEntry(order, EntryState.DISPATCHED);
      const {attempt} = dispatchedEntry;
      let acceptedEntry = live.entry;
      // No timeout: after one, neither this host nor others could tell whether the
      // record exists.
      const recorded = await this.journal.add(dispatchedEntry, () => {
        // From here on, a host that takes the book over must not dispatch the call.
        acceptedEntry = withAttempt(live.entry, attempt);
        live.entry = dispatchedEntry;
      });
      if (recorded.isErr) {
        // The next holder of the book may have read the record of this attempt or of
        // an earlier one. The entry names them all, since none of them is running on
        // this host.
        live.entry = withAttempt(live.entry, attempt);
        break;
      }
      const result = await this.options.dispatch({
        ...order,
        deadlineMs: clock.monotonicMs() + acceptedRetryMs * 10,
      });
      if (result.kind !== DispatchKind.NOT_SENT) {
        return this.conclude(live, order, result);
      }
      live.entry = acceptedEntry;
      void this.journal.add(acceptedEntry);
      await clock.sleep(acceptedRetryMs);
    }
    this.options.onUnrecordedEntry(this.id, live.entry);
    return {kind: OutcomeKind.MOVED};
  }

  private async execute(
    live: LiveEntry,
    order: CallOrder,
  ): Promise<CallOutcome> {
    if (this.options.recordsFirst) {
      const recorded = await this.journal.append(
        live.entry,
        this.getRecordTimeoutMs(order),
        () => {
          live.durable = true;
        },
      );
      if (recorded.isErr) {
        return this.refuseUnrecorded(live, order, recorded.error);
      }
    }
    if (this.options.clock.monotonicMs() >= order.deadlineMs) {
      return this.refuse(live, order, problems.deadlinePassed(ExecutionStatus.NOT_EXECUTED));
    }
    return this.conclude(live, order, await this.options.dispatch(order));
  }

  private async conclude(
    live: LiveEntry,
    order: CallOrder,
    result: DispatchResult,
  ): Promise<CallOutcome> {
    if (result.kind === DispatchKind.NOT_SENT) {
      return this.refuse(live, order, result.problem);
    }
    if (result.kind === DispatchKind.ANSWERED) {
      return this.finish(live, result.answer, false);
    }
    const {deployment, call} = order;
    const found = await this.options.lookUp(deployment, call.key ?? '');
    if (found !== undefined) {
      return this.finish(live, found, false);
    }
    this.settle(live, EntryState.UNKNOWN);
    return fail(problems.outcomeUnknown(result.detail));
  }

  /**
   * Returns the recorded answer of a call. If there is none, queries the backend
   * servers for it; the call is not dispatched again.
   */
  private async replay(known: LiveEntry): Promise<CallOutcome> {
    const {entry} = known;
    if (entry.state === EntryState.FINISHED && entry.answer !== undefined) {
      return {
        kind: OutcomeKind.ANSWERED,
        answer: entry.answer,
        replayed: true,
      };
    }
    const [, key = ''] = splitEntryKey(entry.key);
    const found = await this.options.lookUp(entry.deployment, key);
    if (found !== undefined) {
      return this.finish(known, found, true);
    }
    return fail(
      problems.outcomeUnknown('the call was started but its answer was lost'),
    );
  }

  private async join(known: LiveEntry, order: CallOrder): Promise<CallOutcome> {
    const {clock} = this.options;
    if (order.respondAsync && known.accepted) {
      return {kind: OutcomeKind.ACCEPTED};
    }
    const cancelTimer = new AbortController();
    const timeout = clock
      .sleep(order.deadlineMs - clock.monotonicMs(), cancelTimer.signal)
      .then(() => fail(problems.deadlinePassed(ExecutionStatus.UNKNOWN)));
    const outcome = await Promise.race([
      known.pending ?? this.replay(known),
      timeout,
    ]);
    cancelTimer.abort();
    if (outcome.kind === OutcomeKind.FAILED && outcome.problem.ran === ExecutionStatus.NOT_EXECUTED) {
      known.refusals.set(order.instance, outcome.problem);
    }
    return outcome.kind === OutcomeKind.ANSWERED
      ? {...outcome, replayed: true}
      : outcome;
  }

  private refuseUnrecorded(
    live: LiveEntry,
    order: CallOrder,
    failure: AppendFailure,
  ): CallOutcome {
    if (failure === AppendFailure.FENCED) {
      this.entries.delete(live.entry.key);
      return {kind: OutcomeKind.MOVED};
    }
    const offered = this.options.mintKey();
    const problem = problems.storeUnavailable(ExecutionStatus.NOT_EXECUTED, offered);
    return this.refuse(live, order, problem);
  }

  private refuse(
    live: LiveEntry,
    order: CallOrder,
    problem: Problem,
  ): CallOutcome {
    live.refusals.set(order.instance, problem);
    this.settle(live, EntryState.REFUSED);
    return fail(problem);
  }

  private finish(
    live: LiveEntry,
    answer: RecordedAnswer,
    replayed: boolean,
  ): CallOutcome {
    this.settle(live, EntryState.FINISHED, answer);
    return {kind: OutcomeKind.ANSWERED, answer, replayed};
  }

  /**
   * Sets the state in which a run of a call ended and records it in the background.
   * `REFUSED` is not final: a new request under the key runs the call.
   */
  private settle(
    live: LiveEntry,
    state: EntryState,
    answer?: RecordedAnswer,
  ): void {
    const {call: _call, ...common} = live.entry;
    const entry: Entry = {
      ...common,
      state,
      atMs: this.options.clock.now().getTime(),
      ...(answer === undefined ? {} : {answer}),
    };
    live.entry = entry;
    void this.journal.add(entry).then(recorded => {
      if (recorded.isErr) {
        this.options.onUnrecordedEntry(this.id, entry);
      }
    });
  }

  private createEntry(order: CallOrder, state: EntryState): Entry {
    return {
      key: order.entryKey,
      requestId: order.requestId,
      deployment: order.deployment,
      fingerprint: order.fingerprint,
      attempt:
        state === EntryState.DISPATCHED
          ? `${this.options.incarnation}-${this.journal.getPosition().fence}-${this.attempts++}`
          : '',
      state,
      atMs: this.options.clock.now().getTime(),
    };
  }

  private createAcceptedOrder(entry: Entry): CallOrder {
    const {clock, retentionMs} = this.options;
    return createRecordedOrder(entry, clock.monotonicMs() + retentionMs);
  }

  private getRecordTimeoutMs(order: CallOrder): number {
    const remainingMs = order.deadlineMs - this.options.clock.monotonicMs();
    return Math.max(0, Math.min(remainingMs, this.options.recordTimeoutMs));
  }
}

function fail(problem: Problem): CallOutcome {
  return {kind: OutcomeKind.FAILED, problem};
}
