/** Marks an unreachable branch; a call with an unhandled variant does not compile. */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected variant ${JSON.stringify(value)}`);
};
