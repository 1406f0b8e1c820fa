import {expect} from 'chai';
import {CHECKS, judge} from './checks.js';
import {
  Arrival,
  createHistory,
  FaultSpan,
  History,
  RequestKind,
  Sending,
} from './history.js';

const ENDING = 'ends servers';
const SERVER = 'i-1@1';

function createBase(): History {
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
    ENDING,
  );
}

function createSending(overrides: Partial<Sending> = {}): Sending {
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
    endMs: 10_050,
    status: 200,
    answer: `${id} by ${SERVER}`,
    whole: true,
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
    after: 0,
    ran: true,
    answer: `${id} by ${SERVER}`,
    ...overrides,
  };
}

function createStop(overrides: Partial<FaultSpan> = {}): FaultSpan {
  return {
    kind: 'host-stop',
    target: 'front-0',
    fromMs: 10_020,
    toMs: 11_000,
    planned: true,
    ...overrides,
  };
}

/** Changes a history in order so that one promise is broken in it. */
const BREAKS = new Map<string, (history: History) => void>([
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
        answer: 'id: 1\ndata: r2.1\n\nid: 3\ndata: r2.3\n\n',
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
    'planned stops lose nothing',
    history => {
      history.faults.push(createStop());
      Object.assign(history.sendings[0] ?? {}, {status: 0, answer: ''});
    },
  ],
  [
    'requests that end servers',
    history => {
      history.endsMs.push(1000, 2000, 3000);
      for (const id of ['r2', 'r3', 'r4', 'r5']) {
        addRequest(history, id, {body: ENDING, kind: RequestKind.REPEATABLE});
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
        history.sendings.push(createSending({id}));
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

function createStoreFault(): FaultSpan {
  return createStop({
    kind: 'store-busy',
    target: '',
    planned: false,
    fromMs: 7050,
    toMs: 12_000,
  });
}

/** Adds a request that a server answered. */
function addRequest(
  history: History,
  id: string,
  overrides: Partial<Sending> = {},
): void {
  const {body = 'body', customer = 'guild', path = '/o/x'} = overrides;
  history.sendings.push(createSending({id, ...overrides}));
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

describe('checks of the soak', () => {
  it('find nothing in a history in order', () => {
    const history = createBase();
    addRequest(history, 'r1');
    expect(judge(history, true)).to.deep.equal([]);
  });

  for (const {name} of CHECKS) {
    it(`find what breaks "${name}"`, () => {
      const history = createBase();
      addRequest(history, 'r1');
      BREAKS.get(name)?.(history);
      const found = judge(history, true).map(({check}) => check);
      expect(found).to.include(name);
    });
  }

  it('leave out bounds of time where they are not judged', () => {
    const history = createBase();
    history.recovery = {asked: 10, served: 0};
    expect(judge(history, false)).to.deep.equal([]);
  });

  describe('allow what the rules allow', () => {
    it('a request cut off by a stop that a kill overlaps', () => {
      const history = createBase();
      history.sendings.push(createSending({status: 0, answer: ''}));
      history.faults.push(
        createStop(),
        createStop({kind: 'host-kill', planned: false}),
      );
      expect(judge(history, true)).to.deep.equal([]);
    });

    for (const [what, killedMs, allowed] of [
      ['was killed', 11_500, true],
      ['went on, and was killed long after', 13_500, false],
    ] as const) {
      it(`${allowed ? '' : 'not '}an end that no line tells, of a host that stood still and ${what}`, () => {
        const history = createBase();
        addRequest(history, 'r1');
        history.logged.set('front-0', new Set());
        history.faults.push(
          createStop({
            kind: 'host-freeze',
            planned: false,
            fromMs: 10_080,
            toMs: 12_000,
          }),
          createStop({
            kind: 'all-killed',
            target: '',
            planned: false,
            fromMs: killedMs,
            toMs: killedMs + 10,
          }),
        );
        const found = judge(history, true).map(({check}) => check);
        expect(found.includes('ends in the logs')).to.equal(!allowed);
      });
    }

    it('a request to a server that left just before a store fault', () => {
      const history = createBase();
      addRequest(history, 'r1');
      history.leavings.push({server: SERVER, atMs: 7000});
      history.faults.push(createStoreFault());
      expect(judge(history, true)).to.deep.equal([]);
    });

    it('not a request from a host that logged the leaving during a store fault', () => {
      const history = createBase();
      addRequest(history, 'r1');
      history.leavings.push({server: SERVER, atMs: 7000});
      history.faults.push(createStoreFault());
      history.words.push({host: 'front-0', server: SERVER, atMs: 7100});
      const found = judge(history, true).map(({check}) => check);
      expect(found).to.include('leaving servers get nothing');
    });

    it('not a request sent within the drain bound but forwarded after it', () => {
      const history = createBase();
      history.sendings.push(createSending({sentMs: 8500, endMs: 9600}));
      history.arrivals.push(createArrival({atMs: 9500}));
      history.leavings.push({server: SERVER, atMs: 7000});
      const found = judge(history, true).map(({check}) => check);
      expect(found).to.include('leaving servers get nothing');
    });

    it('not a late request from a host while only another host has a fault', () => {
      const history = createBase();
      addRequest(history, 'r1');
      history.leavings.push({server: SERVER, atMs: 7000});
      history.faults.push(
        createStop({kind: 'host-freeze', target: 'front-1', planned: false}),
      );
      const found = judge(history, true).map(({check}) => check);
      expect(found).to.include('leaving servers get nothing');
    });

    it('an old configuration at a host that was just frozen', () => {
      const history = createBase();
      addChange(history);
      addProbe(history, 'r2', 7000, 404);
      history.faults.push(
        createStop({kind: 'host-freeze', fromMs: 3000, toMs: 5000}),
      );
      expect(judge(history, true)).to.deep.equal([]);
    });
  });
});
