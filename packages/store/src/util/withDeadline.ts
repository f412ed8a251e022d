/**
 * Waits for a promise, and rejects with the given error when it takes too long. What came while the
 * process stood still is read before the deadline counts.
 */
export const withDeadline = async <Value>(
  promise: Promise<Value>,
  milliseconds: number,
  createError: () => Error,
): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const deadline = new Promise<never>((_resolve, reject) => {
    // Timers run before input is read, immediates after it.
    timer = setTimeout(() => setImmediate(() => reject(createError())), milliseconds);
  });
  try {
    return await Promise.race([promise, deadline]);
  } finally {
    clearTimeout(timer);
  }
};
