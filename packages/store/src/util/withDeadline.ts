/** Waits for a promise, and rejects with the given error when it takes too long. */
export const withDeadline = async <Value>(
  promise: Promise<Value>,
  milliseconds: number,
  createError: () => Error,
): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const deadline = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(createError()), milliseconds);
  });
  try {
    return await Promise.race([promise, deadline]);
  } finally {
    clearTimeout(timer);
  }
};
