import { isConnectError } from '../../src/util/isConnectError';

const createSystemCallError = (syscall: string): Error =>
  Object.assign(new Error(syscall), { syscall });

test('a failed connect call precedes an open connection', () => {
  expect(isConnectError(createSystemCallError('connect'))).toBe(true);
});

test('a failed read call occurs on an open connection', () => {
  expect(isConnectError(createSystemCallError('read'))).toBe(false);
});

test('the cause is checked if the error names no system call', () => {
  expect(isConnectError(new TypeError('failed', { cause: createSystemCallError('connect') }))).toBe(
    true,
  );
});

test('with several addresses, the connect call must have failed for all', () => {
  const both = new AggregateError([
    createSystemCallError('connect'),
    createSystemCallError('connect'),
  ]);
  const one = new AggregateError([createSystemCallError('connect'), createSystemCallError('read')]);
  expect([both, one].map(isConnectError)).toEqual([true, false]);
});

test('an error without a system call may have occurred at any time', () => {
  expect([undefined, 'text', new Error('x')].map(isConnectError)).toEqual([false, false, false]);
});
