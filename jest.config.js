/** Runs every package's tests from the sources, so that no build is needed first. */
module.exports = {
  testEnvironment: 'node',
  testMatch: ['<rootDir>/packages/*/tests/**/*.test.ts'],
  modulePathIgnorePatterns: ['<rootDir>/packages/.*/dist'],
  moduleNameMapper: {
    '^@limpetnotch/([^/]+)$': '<rootDir>/packages/$1/src',
    '^(\\.{1,2}/.*)\\.js$': '$1',
  },
  transform: { '^.+\\.ts$': '@swc/jest' },
};
