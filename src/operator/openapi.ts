/** The OpenAPI description of the operators' interface. */

/** One operation of the description. */
interface Operation {
  readonly summary: string;
  readonly security: boolean;
  readonly parameters?: readonly string[];
  readonly responses: Readonly<Record<string, string>>;
}

const RECORD = ['kind', 'name'];
const PROBLEM_401 = 'No operator key, or an unknown one.';

/** Every route of the interface: path, then method. */
const OPERATIONS: Readonly<
  Record<string, Readonly<Record<string, Operation>>>
> = {
  '/health': {
    get: {
      summary: 'Tells that the process runs.',
      security: false,
      responses: {200: 'It runs.'},
    },
  },
  '/ready': {
    get: {
      summary: 'Tells whether the balancer should send requests here.',
      security: false,
      responses: {200: 'It should.', 503: 'It should not; reasons are given.'},
    },
  },
  '/metrics': {
    get: {
      summary: 'Metrics in the Prometheus text format.',
      security: false,
      responses: {200: 'The metrics.'},
    },
  },
  '/openapi.json': {
    get: {
      summary: 'This description.',
      security: false,
      responses: {200: 'The description.'},
    },
  },
  '/admin/v1/records/{kind}': {
    get: {
      summary: 'Lists the records of one kind.',
      security: true,
      parameters: ['kind'],
      responses: {200: 'The records.', 401: PROBLEM_401, 404: 'No such kind.'},
    },
  },
  '/admin/v1/records/{kind}/{name}': {
    get: {
      summary: 'Gets one record; its revision is the ETag.',
      security: true,
      parameters: RECORD,
      responses: {200: 'The record.', 401: PROBLEM_401, 404: 'No record.'},
    },
    put: {
      summary:
        'Creates (If-None-Match: *) or changes (If-Match: ETag) a record.',
      security: true,
      parameters: RECORD,
      responses: {
        200: 'In force in every data centre.',
        202: 'Accepted; the named data centres have not said so yet.',
        401: PROBLEM_401,
        412: 'Another change came first; the winner is given.',
        422: 'The record has mistakes; all are given.',
        428: 'The change does not say which revision it was made on.',
        503: 'The table service does not answer.',
      },
    },
    delete: {
      summary: 'Deletes a record (If-Match: ETag).',
      security: true,
      parameters: RECORD,
      responses: {
        200: 'In force in every data centre.',
        202: 'Accepted; the named data centres have not said so yet.',
        401: PROBLEM_401,
        412: 'Another change came first; the winner is given.',
        428: 'The change does not say which revision it was made on.',
        503: 'The table service does not answer.',
      },
    },
  },
  '/admin/v1/validate': {
    post: {
      summary: 'Checks a record without writing it.',
      security: true,
      responses: {
        200: 'It is valid.',
        401: PROBLEM_401,
        422: 'The record has mistakes; all are given.',
      },
    },
  },
  '/admin/v1/status': {
    get: {
      summary: 'State of hosts, data centres, servers and revisions.',
      security: true,
      responses: {200: 'The state.', 401: PROBLEM_401},
    },
  },
  '/admin/v1/hosts/{host}/drain': {
    post: {
      summary: 'Makes an entry host refuse new work.',
      security: true,
      parameters: ['host'],
      responses: {200: 'Done.', 401: PROBLEM_401, 404: 'Not reached.'},
    },
  },
  '/admin/v1/hosts/{host}/undrain': {
    post: {
      summary: 'Makes an entry host take work again.',
      security: true,
      parameters: ['host'],
      responses: {200: 'Done.', 401: PROBLEM_401, 404: 'Not reached.'},
    },
  },
};

/** Builds the OpenAPI 3.1 document. */
export function createOpenApi(): Record<string, unknown> {
  const paths: Record<string, unknown> = {};
  for (const [path, methods] of Object.entries(OPERATIONS)) {
    const operations: Record<string, unknown> = {};
    for (const [method, operation] of Object.entries(methods)) {
      operations[method] = createOperation(operation);
    }
    paths[path] = operations;
  }
  return {
    openapi: '3.1.0',
    info: {title: 'sedgefall operators', version: '1'},
    components: {
      securitySchemes: {operatorKey: {type: 'http', scheme: 'bearer'}},
    },
    paths,
  };
}

function createOperation(operation: Operation): Record<string, unknown> {
  const responses: Record<string, unknown> = {};
  for (const [status, description] of Object.entries(operation.responses)) {
    responses[status] = {description};
  }
  const parameters = (operation.parameters ?? []).map(name => ({
    name,
    in: 'path',
    required: true,
    schema: {type: 'string'},
  }));
  return {
    summary: operation.summary,
    ...(operation.security ? {security: [{operatorKey: []}]} : {}),
    ...(parameters.length === 0 ? {} : {parameters}),
    responses,
  };
}
