/**
 * Whether a failure of a socket came before its connection was open; of several addresses, at each
 * of them. Linux reports an unreachable host on a connection that is open, too.
 */
export const isOfConnecting = (failure: unknown): boolean => {
  if (typeof failure !== 'object' || failure === null) return false;
  if ('errors' in failure && Array.isArray(failure.errors) && failure.errors.length > 0) {
    return failure.errors.every(isOfConnecting);
  }
  if ('syscall' in failure) return failure.syscall === 'connect';
  return 'cause' in failure && isOfConnecting(failure.cause);
};
