import { buildPrograms } from './signals/buildPrograms';
import type { SignalOutcome } from './signals/runSignalCase';
import { runSignalCase } from './signals/runSignalCase';
import type { SignalCase } from './signals/signalCase';
import { SIGNAL_CASES, STOP_SIGNALS } from './signals/signalCase';

/** Each process is idle most of the time, so that several fit on one core. */
const CONCURRENT_CASES = 4;

const SETUP_MILLISECONDS = 600_000;

const outcomes = new Map<SignalCase, Promise<SignalOutcome>>();

const runAll = async (target: string): Promise<void> => {
  const queue = [...SIGNAL_CASES];
  const runQueued = async (): Promise<void> => {
    for (let next = queue.shift(); next; next = queue.shift()) {
      const outcome = runSignalCase(next, target);
      outcomes.set(next, outcome);
      await outcome.catch(() => undefined);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CASES }, runQueued));
};

beforeAll(async () => runAll(await buildPrograms()), SETUP_MILLISECONDS);

test.each(SIGNAL_CASES)('$signal while $program is $state', async (signalCase) => {
  const { exitCode, signalCode, output } = await outcomes.get(signalCase)!;
  expect({ exitCode, signalCode, output }).toMatchObject({ exitCode: 0, signalCode: null });
  expect(output).not.toMatch(/Debugger listening|Starting inspector/);
  const { state, signal } = signalCase;
  if (!STOP_SIGNALS.has(signal) || (state !== 'loading' && state !== 'starting')) return;
  expect(output).not.toMatch(/gateway\.started|instance\.started|"ready":true/);
});
