import {expect} from 'chai';
import {CHECKS, findViolations} from './checks.js';
import {findBrokenOffInSilences} from './find_broken_off.js';
import {findUnservedAtPartitions} from './find_unserved.js';
import {
  Arrival,
  createHistory,
  FaultSpan,
  History,
  RequestKind,
  SentRequest,
} from './history.js';

const CRASHING_BODY = 'ends servers';
const SERVER = 'i-1@1';

function createTestHistory(): History {
  return createHistory(
    {
      contactMs: 3000,
      applyMs: 2000,
      drainMs: 2000,
      graceMs: 4000,
      retryRatio: 0.2,
      retrySlack: 2,
      retryWindowMs: 10_000,
      quotaWindowMs: 4000,
      quotaOverage: 0.1,
      quotaSlack: 0,
      rates: new Map([['press', [1, 0]]]),
    },
    CRASHING_BODY,
  );
}

function createSentRequest(overrides: Partial<SentRequest> = {}): SentRequest {
  const id = overrides.id ?? 'r1';
  return {
    id,
    kind: RequestKind.ONCE,
    path: '/o/x',
    body: 'body',
    customer: 'guild',
    host: 'front-0',
    start: 1,
    sentMs: 10_000,
    limitMs: 2000,
    hasLeft: false,
    hasCrashingPart: false,
    endMs: 10_050,
    status: 200,
    answer: `${id} by ${SERVER}`,
    whole: true,
    endsWithConnection: false,
    signed: true,
    retryAfter: undefined,
    ...overrides,
  };
}

function createArrival(overrides: Partial<Arrival> = {}): Arrival {
  const id = overrides.id ?? 'r1';
  return {
    id,
    server: SERVER,
    atMs: 10_010,
    method: 'POST',
    path: '/o/x',
    body: 'body',
    customer: 'guild',
    leaked: [],
    hasCrashingPart: false,
    after: 0,
    ran: true,
    eventsMs: [],
    answer: `${id} by ${SERVER}`,
    ...overrides,
  };
}

function createFault(overrides: Partial<FaultSpan> = {}): FaultSpan {
  return {
    kind: 'host-stop',
    target: 'front-0',
    fromMs: 10_020,
    toMs: 11_000,
    planned: true,
    ...overrides,
  };
}

/** Changes to a correct history that each violate one guarantee, by name of the check. */
const VIOLATING_CHANGES = new Map<string, (history: History) => void>([
  [
    'servers that state that they leave get nothing',
    ({sendings, arrivals, leavingAnswers}) => {
      leavingAnswers.push({id: 'r1', server: SERVER});
      sendings.push(
        createSentRequest({id: 'r2', sentMs: 12_100, endMs: 12_150}),
      );
      arrivals.push(createArrival({id: 'r2', atMs: 12_110}));
    },
  ],
  [
    'backoffs of servers',
    ({sendings, arrivals, backoffs}) => {
      backoffs.push({id: 'r1', server: SERVER, atMs: 10_010, forMs: 1500});
      for (const id of ['r2', 'r3', 'r4']) {
        sendings.push(createSentRequest({id, sentMs: 11_000, endMs: 11_050}));
        arrivals.push(createArrival({id, atMs: 11_010}));
      }
    },
  ],
  [
    'partitioned hosts serve',
    history => {
      for (const host of ['front-0', 'front-1']) {
        for (let count = 0; count < 20; count++) {
          const status = host === 'front-0' ? 502 : 200;
          const id = `${host}-${count}`;
          const request = {id, host, sentMs: 20_000, endMs: 20_100};
          history.sendings.push(createSentRequest({...request, status}));
          const answer = `${id} by ${SERVER}`;
          history.arrivals.push(createArrival({id, atMs: 20_010, answer}));
          history.logged.get('front-0')?.add(id);
          history.logged.set(
            'front-1',
            history.logged.get('front-0') ?? new Set(),
          );
        }
      }
      history.faults.push(createPartition());
    },
  ],
  [
    'at most once',
    ({arrivals}) => {
      arrivals.push(createArrival({server: 'i-2@1'}));
    },
  ],
  [
    'true refusals',
    ({sendings}) => {
      Object.assign(sendings[0] ?? {}, {
        status: 503,
        answer: '',
        signed: false,
      });
    },
  ],
  [
    'own whole answers',
    ({sendings}) => {
      Object.assign(sendings[0] ?? {}, {answer: `r2 by ${SERVER}`});
    },
  ],
  [
    'events once and in order',
    history => {
      addRequest(history, 'r2', {
        kind: RequestKind.STREAM,
        path: '/s/x',
        answer: 'id: 1\ndata: r2.1\n\nid: 3\ndata: r2.3\n\n',
      });
    },
  ],
  [
    'streams of one version',
    history => {
      addRequest(history, 'r2', {
        kind: RequestKind.STREAM,
        whole: false,
        answer: 'id: 1\ndata: r2.1@v1\n\n',
      });
      addRequest(history, 'r3', {
        kind: RequestKind.STREAM,
        whole: false,
        answer: 'id: 2\ndata: r3.2@v2\n\n',
        resumed: {id: 'r2', eventCount: 1},
      });
    },
  ],
  ['silence ends no answer', history => addStreamBrokenOffInSilence(history)],
  [
    'servers for one request',
    history => {
      for (const id of ['r2', 'r3', 'r4', 'r5']) {
        addRequest(history, id, {kind: RequestKind.REPEATABLE});
        for (const server of ['i-2@1', 'i-3@1']) {
          history.arrivals.push(createArrival({id, server}));
        }
      }
    },
  ],
  [
    'one run goes on',
    ({sendings, arrivals}) => {
      const stream = {kind: RequestKind.STREAM, path: '/l/x', endMs: 12_500};
      sendings.push(createSentRequest({id: 'r2', ...stream}));
      const eventsMs = [10_100, 11_000, 11_300, 11_700];
      for (const [server, atMs] of [
        ['i-2@1', 10_010],
        ['i-3@1', 10_900],
      ] as const) {
        const sent = eventsMs.filter(ms => ms > atMs);
        const run = {id: 'r2', server, atMs, eventsMs: sent, path: '/l/x'};
        arrivals.push(createArrival(run));
      }
    },
  ],
  [
    'bytes without end are not read on',
    ({endlessAnswers}) => {
      endlessAnswers.push({
        id: 'r1',
        server: SERVER,
        bytes: 17 * 1024 * 1024,
        closedMs: 10_050,
      });
    },
  ],
  [
    'nothing unasked',
    ({arrivals}) => {
      arrivals.push(createArrival({id: 'r9'}));
    },
  ],
  [
    'retry budget',
    history => {
      for (const id of ['r2', 'r3', 'r4', 'r5']) {
        addRequest(history, id, {kind: RequestKind.REPEATABLE});
        history.arrivals.push(createArrival({id, server: 'i-2@1'}));
      }
    },
  ],
  [
    'quota',
    history => {
      for (let count = 0; count < 5; count++) {
        addRequest(history, `p${count}`, {customer: 'press'});
      }
    },
  ],
  [
    'counts decided once',
    ({duties}) => {
      const call = {atMs: 1, holder: 'front-0', fence: 1, window: 7};
      duties.push({...call, counts: 'a'}, {...call, counts: 'b'});
    },
  ],
  [
    'fences never lower',
    ({duties}) => {
      const call = {atMs: 10_000, counts: ''};
      duties.push({...call, holder: 'front-0', fence: 2, window: 1});
      duties.push({...call, holder: 'front-1', fence: 1, window: 2});
    },
  ],
  [
    'configuration never back',
    history => {
      addChange(history);
      addProbe(history, 'r2', 5000, 200);
      addProbe(history, 'r3', 5400, 404);
    },
  ],
  [
    'no exits of its own',
    ({ownExits}) => {
      ownExits.push('front-0 code 1');
    },
  ],
  [
    'ends in the logs',
    ({logged}) => {
      logged.set('front-0', new Set());
    },
  ],
  [
    'configuration in time',
    history => {
      addChange(history);
      addProbe(history, 'r2', 7000, 404);
    },
  ],
  [
    'leaving servers get nothing',
    ({leavings}) => {
      leavings.push({server: SERVER, atMs: 7000});
    },
  ],
  [
    'leaving servers are known through faults in series',
    ({leavings, faults}) => {
      leavings.push({server: SERVER, atMs: 4000});
      // The last outage of the store ends shortly before the request.
      for (const fromMs of [5000, 7000, 9800]) {
        const toMs = fromMs + 200;
        const fault = {kind: 'store-link-cut', fromMs, toMs, planned: false};
        faults.push(createFault(fault));
      }
    },
  ],
  [
    'planned stops lose nothing',
    history => {
      history.faults.push(createFault());
      Object.assign(history.sendings[0] ?? {}, {status: 0, answer: ''});
    },
  ],
  [
    'planned stops leave no run without an answer',
    ({sendings, arrivals, faults}) => {
      faults.push(createFault());
      const late = {sentMs: 13_200, endMs: 13_220, status: 0, answer: ''};
      sendings.push(createSentRequest({id: 'r2', ...late}));
      arrivals.push(createArrival({id: 'r2', atMs: 13_210}));
    },
  ],
  [
    'requests that end servers',
    history => {
      history.endsMs.push(1000, 2000, 3000);
      for (const id of ['r2', 'r3', 'r4', 'r5']) {
        addRequest(history, id, {
          body: CRASHING_BODY,
          kind: RequestKind.REPEATABLE,
        });
      }
    },
  ],
  [
    'parts that crash servers',
    history => {
      history.partCrashesMs.push(1000, 2000, 3000, 4000, 5000);
      for (const id of ['r2', 'r3', 'r4', 'r5']) {
        addRequest(history, id, {kind: RequestKind.REPEATABLE});
        history.arrivals.push(createArrival({id, hasCrashingPart: true}));
      }
    },
  ],
  [
    'limits of servers',
    history => {
      history.limits.push({
        server: SERVER,
        perSecond: 1,
        fromMs: 7000,
        toMs: 20_000,
      });
      for (let count = 0; count < 12; count++) {
        const id = `l${count}`;
        history.sendings.push(createSentRequest({id}));
        history.arrivals.push(createArrival({id, atMs: 11_000 + count}));
      }
    },
  ],
  [
    'recovery',
    ({recovery}) => {
      recovery.asked = 10;
      recovery.served = 8;
    },
  ],
]);

function createStoreBusyFault(): FaultSpan {
  return createFault({
    kind: 'store-busy',
    target: '',
    planned: false,
    fromMs: 7050,
    toMs: 12_000,
  });
}

/** Adds a stream that its host breaks off while its server is silent and goes on later. */
function addStreamBrokenOffInSilence(
  {sendings, arrivals, faults}: History,
  overrides: Partial<SentRequest> = {},
): void {
  const stream = {kind: RequestKind.STREAM, path: '/l/x'};
  sendings.push(
    createSentRequest({
      id: 'r2',
      ...stream,
      endMs: 11_000,
      limitMs: 6000,
      whole: false,
      answer: 'id: 1\ndata: r2.1@v1\n\n',
      ...overrides,
    }),
  );
  arrivals.push(createArrival({id: 'r2', path: '/l/x', eventsMs: [10_100]}));
  faults.push(
    createFault({
      kind: 'server-silent',
      target: 'i-1',
      fromMs: 10_200,
      toMs: 11_400,
      planned: false,
    }),
  );
}

/** Creates the partition of front-0 from all servers. */
function createPartition(): FaultSpan {
  return createFault({
    kind: 'host-partitioned',
    fromMs: 15_000,
    toMs: 22_000,
    planned: false,
  });
}

/** Adds requests to a host while front-0 is partitioned; the rest of them is refused. */
function addWhilePartitioned(
  history: History,
  host: string,
  sent: number,
  served: number,
): void {
  for (let count = 0; count < sent; count++) {
    const status = count < served ? 200 : 503;
    const times = {sentMs: 20_000, endMs: 20_100};
    const id = `${host}-${count}`;
    history.sendings.push(createSentRequest({id, host, ...times, status}));
  }
}

/** Adds a request that a server answered. */
function addRequest(
  history: History,
  id: string,
  overrides: Partial<SentRequest> = {},
): void {
  const {body = 'body', customer = 'guild', path = '/o/x'} = overrides;
  history.sendings.push(createSentRequest({id, ...overrides}));
  history.arrivals.push(createArrival({id, body, customer, path}));
}

function addChange({changes}: History): void {
  changes.push({version: 2, ackMs: 4000, added: '/v2/', removed: ''});
}

function addProbe(
  history: History,
  id: string,
  sentMs: number,
  status: number,
): void {
  const path = '/v2/';
  const kind = RequestKind.REPEATABLE;
  const endMs = sentMs + 20;
  addRequest(history, id, {kind, path, sentMs, endMs, status});
}

describe('soak checks', () => {
  it('report nothing for a correct history', () => {
    const history = createTestHistory();
    addRequest(history, 'r1');
    expect(findViolations(history, true)).to.deep.equal([]);
  });

  for (const {name} of CHECKS) {
    it(`report a violation of "${name}"`, () => {
      const history = createTestHistory();
      addRequest(history, 'r1');
      VIOLATING_CHANGES.get(name)?.(history);
      const found = findViolations(history, true).map(({check}) => check);
      expect(found).to.include(name);
    });
  }

  it('skip checks with time bounds if these are not requested', () => {
    const history = createTestHistory();
    history.recovery = {asked: 10, served: 0};
    expect(findViolations(history, false)).to.deep.equal([]);
  });

  // Guards against a violation that is a part of one request: where brittle servers refuse most
  // requests at all hosts, a few requests more or less are chance.
  for (const [served, name] of [
    [1, 'nothing'],
    [0, 'a violation'],
  ] as const) {
    it(`report ${name} if a partitioned host serves ${served} of 15, the others 5 of 45`, () => {
      const history = createTestHistory();
      history.faults.push(createPartition());
      addWhilePartitioned(history, 'front-0', 15, served);
      addWhilePartitioned(history, 'front-1', 45, 5);
      const found = [...findUnservedAtPartitions(history)];
      expect(found.length).to.equal(served === 0 ? 1 : 0);
    });
  }

  // Guards against blaming a partitioned host for requests that no host owes an answer.
  for (const [what, overrides, isFound] of [
    ['sound requests', {}, true],
    ['requests that their callers left', {hasLeft: true}, false],
    ['prompts that crash servers', {hasCrashingPart: true}, false],
  ] as const) {
    it(`report ${isFound ? 'a violation' : 'nothing'} if a partitioned host refuses ${what}`, () => {
      const history = createTestHistory();
      history.faults.push(createPartition());
      for (let count = 0; count < 30; count++) {
        const times = {sentMs: 20_000, endMs: 20_100, status: 503};
        const id = `q${count}`;
        history.sendings.push(createSentRequest({id, ...times, ...overrides}));
      }
      addWhilePartitioned(history, 'front-1', 45, 45);
      const found = [...findUnservedAtPartitions(history)];
      expect(found.length).to.equal(isFound ? 1 : 0);
    });
  }

  // Guards against a check that finds nothing in a silence, or blames what a host may do.
  describe('find answers broken off in a silence', () => {
    for (const [what, overrides, isFound] of [
      ['with a stream cut', {}, true],
      ['without an answer', {status: 0, answer: ''}, true],
      ['with an error of the host', {status: 502, signed: false}, true],
      ['not with an error of the server', {status: 502}, false],
      ['not when most of its time is used', {endMs: 14_300}, false],
      ['not when its caller has left', {hasLeft: true}, false],
    ] as const) {
      it(what, () => {
        const history = createTestHistory();
        addRequest(history, 'r1');
        addStreamBrokenOffInSilence(history, overrides);
        const found = [...findBrokenOffInSilences(history)];
        expect(found.length).to.equal(isFound ? 1 : 0);
      });
    }

    for (const [what, fault, isFound] of [
      ['though the configuration changes', {kind: 'change'}, true],
      ['though the settings change', {kind: 'host-reload'}, true],
      ['though its host begins to stop', {kind: 'host-stop'}, true],
      ['though another host is killed', {kind: 'host-kill', target: 'x'}, true],
      ['not when its host is killed', {kind: 'host-kill'}, false],
      ['not when its host was frozen', {kind: 'host-freeze'}, false],
      [
        'not when its server loses answers',
        {kind: 'server-loses-answers', target: 'i-1'},
        false,
      ],
      [
        'not when the link to its server is reset',
        {kind: 'server-link-reset', target: 'i-1'},
        false,
      ],
    ] as const) {
      it(what, () => {
        const history = createTestHistory();
        addStreamBrokenOffInSilence(history);
        history.faults.push(createFault(fault));
        const found = [...findBrokenOffInSilences(history)];
        expect(found.length).to.equal(isFound ? 1 : 0);
      });
    }

    it('not when its server ends', () => {
      const history = createTestHistory();
      addStreamBrokenOffInSilence(history);
      history.serverEnds.push({server: SERVER, atMs: 10_900});
      expect([...findBrokenOffInSilences(history)]).to.deep.equal([]);
    });
  });

  describe('accept only excused violations:', () => {
    it('a request cut off by a planned stop that overlaps a kill', () => {
      const history = createTestHistory();
      history.sendings.push(createSentRequest({status: 0, answer: ''}));
      history.faults.push(
        createFault(),
        createFault({kind: 'host-kill', planned: false}),
      );
      expect(findViolations(history, true)).to.deep.equal([]);
    });

    // The request ends at 10,050 ms; a caller may also leave it while the host is frozen.
    for (const [what, frozenMs, killedMs, allowed] of [
      ['then killed', 10_080, 11_500, true],
      ['killed, when its caller had left', 10_030, 11_500, true],
      ['then resumed and killed much later', 10_080, 13_500, false],
      ['resumed before, and killed later', 9000, 11_500, false],
    ] as const) {
      it(`${allowed ? '' : 'not '}an unlogged outcome at a host that was frozen and ${what}`, () => {
        const history = createTestHistory();
        addRequest(history, 'r1');
        history.logged.set('front-0', new Set());
        history.faults.push(
          createFault({
            kind: 'host-freeze',
            planned: false,
            fromMs: frozenMs,
            toMs: frozenMs < 10_000 ? 10_020 : 12_000,
          }),
          createFault({
            kind: 'all-killed',
            target: '',
            planned: false,
            fromMs: killedMs,
            toMs: killedMs + 10,
          }),
        );
        const found = findViolations(history, true).map(({check}) => check);
        expect(found.includes('ends in the logs')).to.equal(!allowed);
      });
    }

    it('a request to a server that started to leave just before a store fault', () => {
      const history = createTestHistory();
      addRequest(history, 'r1');
      history.leavings.push({server: SERVER, atMs: 7000});
      history.faults.push(createStoreBusyFault());
      expect(findViolations(history, true)).to.deep.equal([]);
    });

    it('not a request from a host that logged the leaving during a store fault', () => {
      const history = createTestHistory();
      addRequest(history, 'r1');
      history.leavings.push({server: SERVER, atMs: 7000});
      history.faults.push(createStoreBusyFault());
      history.words.push({host: 'front-0', server: SERVER, atMs: 7100});
      const found = findViolations(history, true).map(({check}) => check);
      expect(found).to.include('leaving servers get nothing');
    });

    it('not a request sent within the drain bound but forwarded after it', () => {
      const history = createTestHistory();
      history.sendings.push(createSentRequest({sentMs: 8500, endMs: 9600}));
      history.arrivals.push(createArrival({atMs: 9500}));
      history.leavings.push({server: SERVER, atMs: 7000});
      const found = findViolations(history, true).map(({check}) => check);
      expect(found).to.include('leaving servers get nothing');
    });

    it('not a late request from a host while only another host has a fault', () => {
      const history = createTestHistory();
      addRequest(history, 'r1');
      history.leavings.push({server: SERVER, atMs: 7000});
      history.faults.push(
        createFault({kind: 'host-freeze', target: 'front-1', planned: false}),
      );
      const found = findViolations(history, true).map(({check}) => check);
      expect(found).to.include('leaving servers get nothing');
    });

    it('an outdated configuration at a host that was frozen shortly before', () => {
      const history = createTestHistory();
      addChange(history);
      addProbe(history, 'r2', 7000, 404);
      history.faults.push(
        createFault({kind: 'host-freeze', fromMs: 3000, toMs: 5000}),
      );
      expect(findViolations(history, true)).to.deep.equal([]);
    });
  });
});
