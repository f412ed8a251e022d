/**
 * Preloaded into a program: makes it crash on SIGWINCH, which by default ends no process, in the
 * way that the variable CRASH names.
 */
process.on('SIGWINCH', () => {
  const error = new Error('injected');
  if (process.env.CRASH === 'unhandledRejection') Promise.reject(error);
  else throw error;
});
