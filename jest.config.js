/** Runs every package's tests from the sources, so that no build is needed first. */
module.exports = {
  testEnvironment: 'node',
  testMatch: ['<rootDir>/packages/*/tests/**/*.test.ts', '<rootDir>/platform/tests/**/*.test.ts'],
  modulePathIgnorePatterns: [
    '<rootDir>/packages/.*/dist',
    '<rootDir>/platform/dist',
    '<rootDir>/target',
  ],
  moduleNameMapper: {
    '^@limpetnotch/platform$': '<rootDir>/platform/src',
    '^@limpetnotch/([^/]+)$': '<rootDir>/packages/$1/src',
    '^(\\.{1,2}/.*)\\.js$': '$1',
  },
  transform: { '^.+\\.ts$': '@swc/jest' },
};
