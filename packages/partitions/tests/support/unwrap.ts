import type { Result } from 'neverthrow';

/** Returns the value of a result; fails the test on an error. */
export const unwrap = <Value, Failure>(result: Result<Value, Failure>): Value => {
  if (result.isErr()) throw new Error(`unexpected error: ${JSON.stringify(result.error)}`);
  return result.value;
};

/** Returns the error of a result; fails the test on a value. */
export const unwrapError = <Value, Failure>(result: Result<Value, Failure>): Failure => {
  if (result.isOk()) throw new Error(`unexpected value: ${JSON.stringify(result.value)}`);
  return result.error;
};
