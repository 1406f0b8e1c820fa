const gts = require('gts');
const {defineConfig} = require('eslint/config');

module.exports = defineConfig([
  {
    ignores: [
      'dist/',
      'target/',
      'node_modules/',
      'coverage/',
      'scripts/',
      '*.cjs',
    ],
  },
  ...gts,
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'test/**/*.ts'],
    languageOptions: {parserOptions: {project: './tsconfig.json'}},
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: ['function', 'method'], format: ['camelCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
          leadingUnderscore: 'allow',
          // Members of wire formats keep the names of their protocols.
          filter: {regex: '^[a-z]+(_[a-z]+)+$', match: false},
        },
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
    },
  },
]);
