import { toAttemptError } from '../../src/targets/attemptError';

const failure = (code: string, syscall: string): Error =>
  Object.assign(new Error(`${syscall} ${code}`), { code, syscall });

const UNREACHABLE = ['EHOSTUNREACH', 'ENETUNREACH'];

test.each(UNREACHABLE)('a request whose open connection fails with %s may have run', (code) => {
  expect(toAttemptError(failure(code, 'read'), false).kind).toBe('broken');
  expect(toAttemptError(failure(code, 'write'), false).kind).toBe('broken');
});

test.each(UNREACHABLE)('a request whose connection does not open for %s was not sent', (code) => {
  expect(toAttemptError(failure(code, 'connect'), false).kind).toBe('not-sent');
});

test('a request was not sent if no address of its target accepts a connection', () => {
  const errors = UNREACHABLE.map((code) => failure(code, 'connect'));
  const error = Object.assign(new AggregateError(errors), { code: UNREACHABLE[0] });
  expect(toAttemptError(error, false).kind).toBe('not-sent');
});
