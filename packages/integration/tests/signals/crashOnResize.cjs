/** Preloaded into a program: SIGWINCH, which ends no process, makes it crash in the way it is told. */
process.on('SIGWINCH', () => {
  const error = new Error('injected');
  if (process.env.CRASH === 'unhandledRejection') Promise.reject(error);
  else throw error;
});
