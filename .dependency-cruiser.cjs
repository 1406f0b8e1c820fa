/** Rules on who may import whom. */
module.exports = {
  forbidden: [
    {
      name: 'no-circular',
      severity: 'error',
      from: {},
      to: {circular: true},
    },
    {
      name: 'decisions-have-no-io',
      comment: 'Decisions take knowledge and a clock; they open no sockets.',
      severity: 'error',
      from: {
        path: '^src/(admission|attempts|backoff|provisioning|catalog|changes|fleet|generation|journal|limits|membership|peering|quota|relay|replica|retry_budget|routing|random|server_model|time|errors|usage)/',
      },
      to: {
        path: '(^|/)(got|express|node:net|node:http|net|http|fs|node:fs)($|/)',
      },
    },
    {
      name: 'product-without-fakes',
      comment: 'Fakes and trials are for tests; the product does not use them.',
      severity: 'error',
      from: {
        path: '^src/',
        pathNot: '^src/(bin|fakes|trial|measure|prove|slopes)/',
      },
      to: {path: '^src/(fakes|trial|measure|prove|slopes)/'},
    },
    {
      name: 'product-without-platform',
      comment: "The users' platform is translated in one folder only.",
      severity: 'error',
      from: {path: '^src/'},
      to: {path: '^platform/'},
    },
    {
      name: 'platform-through-public-faces',
      comment: 'The translation uses what folders offer, nothing inside them.',
      severity: 'error',
      from: {path: '^platform/'},
      to: {path: '^src/([^/]+)/(?!index\\.ts$)'},
    },
    {
      name: 'folders-through-their-index',
      comment: 'A folder is used through the public face its index.ts names.',
      severity: 'error',
      from: {path: '^src/([^/]+)/'},
      to: {path: '^src/([^/]+)/(?!index\\.ts$)', pathNot: '^src/$1/'},
    },
  ],
  options: {
    doNotFollow: {path: 'node_modules'},
    tsPreCompilationDeps: true,
    tsConfig: {fileName: 'tsconfig.json'},
    enhancedResolveOptions: {
      extensions: ['.ts', '.js'],
      exportsFields: ['exports'],
      conditionNames: ['import'],
    },
  },
};
