import type { Result } from 'neverthrow';

/** Returns the value of a result, or fails the test if it is an error. */
export const valueOf = <Value, Failure>(result: Result<Value, Failure>): Value => {
  if (result.isOk()) return result.value;
  throw new Error(`unexpected error: ${JSON.stringify(result.error)}`);
};

/** Returns the error of a result, or fails the test if it is a value. */
export const errorOf = <Value, Failure>(result: Result<Value, Failure>): Failure => {
  if (result.isErr()) return result.error;
  throw new Error(`unexpected value: ${JSON.stringify(result.value)}`);
};
