/**
 * Waits for an operation, at most for a time in milliseconds; resolves to what `late` returns where
 * it took longer.
 */
export const settleWithin = async <Value>(
  operation: PromiseLike<Value>,
  milliseconds: number,
  late: () => Value,
): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<Value>((resolve) => {
    timer = setTimeout(() => resolve(late()), milliseconds);
  });
  try {
    return await Promise.race([operation, timeout]);
  } finally {
    clearTimeout(timer);
  }
};
