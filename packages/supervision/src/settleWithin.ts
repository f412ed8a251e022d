/**
 * Waits for an operation with a timeout in milliseconds; resolves to the value of `onTimeout` if the
 * operation takes longer.
 */
export const settleWithin = async <Value>(
  operation: PromiseLike<Value>,
  milliseconds: number,
  onTimeout: () => Value,
): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<Value>((resolve) => {
    timer = setTimeout(() => resolve(onTimeout()), milliseconds);
  });
  try {
    return await Promise.race([operation, timeout]);
  } finally {
    clearTimeout(timer);
  }
};
