import { delay } from '@limpetnotch/supervision';
import type { SignalCase } from './signalCase';
import { STOP_SIGNALS } from './signalCase';
import { StagedProgram } from './stagedProgram';

/** Short enough to hit the last milliseconds of a process. */
const SIGNAL_INTERVAL_MILLISECONDS = 1;

/** How a program ended after a signal. */
export interface SignalOutcome {
  readonly exitCode: number | null;
  /** Signal that ended the process, if one did. */
  readonly signalCode: string | null;
  readonly output: string;
}

const sendUntilEnded = async (staged: StagedProgram, signal: NodeJS.Signals): Promise<void> => {
  while (!staged.process.hasExited) {
    staged.process.signal(signal);
    await delay(SIGNAL_INTERVAL_MILLISECONDS);
  }
};

const runStaged = async (staged: StagedProgram, signalCase: SignalCase): Promise<void> => {
  const { state, signal } = signalCase;
  await staged.reach(state);
  const ended = staged.waitForEnd();
  if (state === 'ended') await sendUntilEnded(staged, signal);
  else staged.process.signal(signal);
  await staged.release();
  const isStopped = STOP_SIGNALS.has(signal) || state === 'draining' || state === 'ended';
  if (!isStopped && !staged.process.hasExited) {
    if (!staged.cannotServe) await staged.waitUntilServing().catch(() => undefined);
    staged.process.signal('SIGTERM');
  }
  await ended;
};

/** Sends a program the signal in the state, then SIGTERM unless it is already stopping. */
export const runSignalCase = async (
  signalCase: SignalCase,
  target: string,
): Promise<SignalOutcome> => {
  const staged = await StagedProgram.create(signalCase.program, target);
  try {
    await runStaged(staged, signalCase);
    const { exitCode, signalCode, output } = staged.process;
    return { exitCode, signalCode, output };
  } finally {
    await staged.close();
  }
};
