/** Aborts on the first SIGTERM or SIGINT. */
export const shutdownSignal = (): AbortSignal => {
  const controller = new AbortController();
  process.once('SIGTERM', () => controller.abort());
  process.once('SIGINT', () => controller.abort());
  return controller.signal;
};
