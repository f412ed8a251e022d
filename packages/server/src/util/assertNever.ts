/** Marks a branch that no variant reaches; the compiler refuses a call with a variant left. */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected variant ${JSON.stringify(value)}`);
};
