/** The OpenAPI description of the operators' interface. */

/** An operation in the description. */
interface Operation {
  readonly summary: string;
  /** Whether an operator key is required. */
  readonly security: boolean;
  /** Names of the path parameters. */
  readonly parameters?: readonly string[];
  /** Description of each response, by status code. */
  readonly responses: Readonly<Record<string, string>>;
}

const RECORD_PARAMETERS = ['kind', 'name'];
const UNAUTHORIZED = 'The operator key is missing or unknown.';

/** All routes of the interface, by path and method. */
const OPERATIONS: Readonly<
  Record<string, Readonly<Record<string, Operation>>>
> = {
  '/health': {
    get: {
      summary: 'Reports that the process is running.',
      security: false,
      responses: {200: 'The process is running.'},
    },
  },
  '/ready': {
    get: {
      summary:
        'Reports whether the load balancer should send requests to this host.',
      security: false,
      responses: {
        200: 'The host is ready.',
        503: 'The host is not ready; the reasons are listed.',
      },
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
      responses: {
        200: 'The records.',
        401: UNAUTHORIZED,
        404: 'There is no such kind of record.',
      },
    },
  },
  '/admin/v1/records/{kind}/{name}': {
    get: {
      summary: 'Gets one record; its revision is the ETag.',
      security: true,
      parameters: RECORD_PARAMETERS,
      responses: {
        200: 'The record.',
        401: UNAUTHORIZED,
        404: 'There is no such record.',
      },
    },
    put: {
      summary:
        'Creates (If-None-Match: *) or changes (If-Match: ETag) a record.',
      security: true,
      parameters: RECORD_PARAMETERS,
      responses: {
        200: 'In force in every data centre.',
        202: 'Accepted; the listed data centres have not confirmed it yet.',
        401: UNAUTHORIZED,
        412: 'Conflict with an earlier change; the current record is included.',
        422: 'The record is invalid; all mistakes are listed.',
        428: 'The request does not state the revision that the change is based on.',
        503: 'The table service does not respond.',
      },
    },
    delete: {
      summary: 'Deletes a record (If-Match: ETag).',
      security: true,
      parameters: RECORD_PARAMETERS,
      responses: {
        200: 'In force in every data centre.',
        202: 'Accepted; the listed data centres have not confirmed it yet.',
        401: UNAUTHORIZED,
        412: 'Conflict with an earlier change; the current record is included.',
        428: 'The request does not state the revision that the change is based on.',
        503: 'The table service does not respond.',
      },
    },
  },
  '/admin/v1/validate': {
    post: {
      summary: 'Validates a record without writing it.',
      security: true,
      responses: {
        200: 'The record is valid.',
        401: UNAUTHORIZED,
        422: 'The record is invalid; all mistakes are listed.',
      },
    },
  },
  '/admin/v1/status': {
    get: {
      summary: 'State of hosts, data centres, servers and revisions.',
      security: true,
      responses: {200: 'The state.', 401: UNAUTHORIZED},
    },
  },
  '/admin/v1/hosts/{host}/drain': {
    post: {
      summary: 'Starts the drain of an entry host: it refuses new work.',
      security: true,
      parameters: ['host'],
      responses: {
        200: 'Done.',
        401: UNAUTHORIZED,
        404: 'The host was not reached.',
      },
    },
  },
  '/admin/v1/hosts/{host}/undrain': {
    post: {
      summary: 'Ends the drain of an entry host: it accepts new work again.',
      security: true,
      parameters: ['host'],
      responses: {
        200: 'Done.',
        401: UNAUTHORIZED,
        404: 'The host was not reached.',
      },
    },
  },
};

/** Creates the OpenAPI 3.1 document. */
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
