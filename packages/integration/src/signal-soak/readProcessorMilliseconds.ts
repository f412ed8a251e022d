import { readFile } from 'node:fs/promises';

/** The kernel counts processor time in hundredths of a second. */
const MILLISECONDS_PER_TICK = 10;

/** User time is the 14th field of `/proc/PID/stat`, the 12th after the name; system time follows. */
const USER_TIME_FIELD = 11;

/** Returns the processor time that a process has used; undefined if it has ended. */
export const readProcessorMilliseconds = async (pid: number): Promise<number | undefined> => {
  const text = await readFile(`/proc/${pid}/stat`, 'utf8').catch(() => '');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1]);
  return Number.isNaN(ticks) ? undefined : ticks * MILLISECONDS_PER_TICK;
};
