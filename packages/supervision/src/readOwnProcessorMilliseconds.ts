const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Returns the processor time that this process has used, in milliseconds. */
export const readOwnProcessorMilliseconds = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
};
