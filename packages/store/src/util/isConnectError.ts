/**
 * Whether a socket error occurred before the connection was open; with several addresses, at each of
 * them. The error code does not show this, since Linux also reports an unreachable host on an open
 * connection.
 */
export const isConnectError = (failure: unknown): boolean => {
  if (typeof failure !== 'object' || failure === null) return false;
  if ('errors' in failure && Array.isArray(failure.errors) && failure.errors.length > 0) {
    return failure.errors.every(isConnectError);
  }
  if ('syscall' in failure) return failure.syscall === 'connect';
  return 'cause' in failure && isConnectError(failure.cause);
};
