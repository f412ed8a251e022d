import { isOfConnecting } from '../../src/util/isOfConnecting';

const failureOf = (syscall: string): Error => Object.assign(new Error(syscall), { syscall });

test('a failure to connect comes before the connection is open', () => {
  expect(isOfConnecting(failureOf('connect'))).toBe(true);
});

test('a failure to read comes on an open connection', () => {
  expect(isOfConnecting(failureOf('read'))).toBe(false);
});

test('the cause of a failure counts where it names no system call', () => {
  expect(isOfConnecting(new TypeError('failed', { cause: failureOf('connect') }))).toBe(true);
});

test('of several addresses all must have failed to connect', () => {
  const both = new AggregateError([failureOf('connect'), failureOf('connect')]);
  const one = new AggregateError([failureOf('connect'), failureOf('read')]);
  expect([both, one].map(isOfConnecting)).toEqual([true, false]);
});

test('a failure that says nothing of a system call may have come at any time', () => {
  expect([undefined, 'text', new Error('x')].map(isOfConnecting)).toEqual([false, false, false]);
});
