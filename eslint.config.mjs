import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configs, plugins, rules } from 'eslint-config-airbnb-extended';
import { globalIgnores } from 'eslint/config';

/** The Airbnb rules for TypeScript on Node.js; formatting is left to Prettier. */
const stylisticOff = Object.fromEntries(
  Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((name) => [
    `@stylistic/${name}`,
    'off',
  ]),
);

export default [
  globalIgnores([
    '**/dist/**',
    'target/**',
    'journal/**',
    'coverage/**',
    'reports/**',
    'packages/*/bin/**',
    'packages/peer-protocol/src/generated/**',
  ]),
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  rules.typescript.typescriptEslintStrict,
  {
    files: ['**/*.ts'],
    settings: { node: { version: '>=20.20.0' } },
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: dirname(fileURLToPath(import.meta.url)),
      },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      // Both are covered more strictly: by the rule above and by the compiler's noImplicitReturns.
      'default-case': 'off',
      'consistent-return': 'off',
      '@typescript-eslint/no-floating-promises': 'error',
      // Nest controllers and small adapters have methods without state.
      '@typescript-eslint/class-methods-use-this': 'off',
      'class-methods-use-this': 'off',
      // Nest modules are classes that only carry a decorator.
      '@typescript-eslint/no-extraneous-class': ['error', { allowWithDecorator: true }],
      'import-x/no-default-export': 'error',
      'import-x/prefer-default-export': 'off',
      // Tasks are written straight down: loops await one step after another.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-void': ['error', { allowAsStatement: true }],
      // Interfaces read as lists of methods; the compiler checks them strictly either way.
      '@typescript-eslint/method-signature-style': 'off',
      '@typescript-eslint/promise-function-async': 'off',
      // Part of all versions of the range above, though not yet declared stable in them.
      'n/no-unsupported-features/node-builtins': [
        'error',
        { version: '>=20.20.0', ignores: ['zlib.crc32'] },
      ],
      // A negative amount or a bit mask is clearer than a helper around it.
      'no-bitwise': 'off',
    },
  },
  {
    files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'max-classes-per-file': 'off',
      // Tests unwrap results: a wrong variant fails the test at once.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
  {
    // Scripts of the build and the start of a process run once, before anything else could wait.
    files: ['deploy/*.{mjs,cjs}', '{packages/integration,platform}/tests/**/*.cjs'],
    rules: {
      'n/no-sync': 'off',
      // What is still open at the end, such as a question to a peer, must not hold the end up.
      'n/no-process-exit': 'off',
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }],
      // The code cache is written by the bundle that it belongs to, which the build has just made.
      'import-x/no-dynamic-require': 'off',
    },
  },
  {
    // Resolved by the bundler, which knows sources in TypeScript and needs the other extensions.
    files: ['platform/tests/bundle/*.cjs'],
    rules: { 'import-x/extensions': 'off', 'import-x/no-unresolved': 'off' },
  },
  { rules: stylisticOff },
];
