import type { Call } from '../calls/call';

/** Share of the remaining time of a request that it may wait for a target. */
const DEADLINE_SHARE = 1 / 3;

/** Share of a program's remaining time that one of its requests may wait; it has others to send. */
const PROGRAM_SHARE = 0.25;

/** Returns how long a call may wait for a target with room, in milliseconds. */
export const computeLongestWait = (call: Call): number => {
  const deadline = Math.max(0, call.remainingMilliseconds * DEADLINE_SHARE);
  const finish = call.envelope.program?.finishMilliseconds;
  if (finish === undefined) return deadline;
  const programMilliseconds = finish - call.ageMilliseconds;
  // A program that is late already earns less, but still something.
  if (programMilliseconds <= 0) return deadline;
  return Math.min(deadline, programMilliseconds * PROGRAM_SHARE);
};
