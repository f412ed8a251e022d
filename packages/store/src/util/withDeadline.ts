/**
 * Waits for a promise, and rejects with the given error when it takes too long. Input that arrived
 * while the process was paused is read before the deadline applies.
 */
export const withDeadline = async <Value>(
  promise: Promise<Value>,
  milliseconds: number,
  createError: () => Error,
): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const deadline = new Promise<never>((_resolve, reject) => {
    // The event loop runs timers before it reads input, and immediates after.
    timer = setTimeout(() => setImmediate(() => reject(createError())), milliseconds);
  });
  try {
    return await Promise.race([promise, deadline]);
  } finally {
    clearTimeout(timer);
  }
};
