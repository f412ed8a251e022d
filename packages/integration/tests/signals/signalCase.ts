/** Signals that a user, a terminal or a supervisor sends, and that end a program by default. */
export const SIGNALS = [
  'SIGTERM',
  'SIGINT',
  'SIGQUIT',
  'SIGHUP',
  'SIGUSR1',
  'SIGUSR2',
  'SIGALRM',
] as const;

export type TestedSignal = (typeof SIGNALS)[number];

/** Signals that request a graceful stop. */
export const STOP_SIGNALS: ReadonlySet<TestedSignal> = new Set(['SIGTERM', 'SIGINT', 'SIGQUIT']);

/**
 * State of a program when a signal arrives: loading its modules, starting, serving, reloading its
 * settings, or draining; `ended`: repeated signals from the drain until the process has exited.
 */
export type ProgramState = 'loading' | 'starting' | 'serving' | 'reloading' | 'draining' | 'ended';

/** Long-running programs with their states; storage only waits. */
export const PROGRAM_STATES = {
  entry: ['loading', 'starting', 'serving', 'reloading', 'draining', 'ended'],
  storage: ['serving', 'ended'],
  limpetnotchd: ['loading', 'starting', 'serving', 'draining', 'ended'],
  'stand-in': ['loading', 'serving', 'ended'],
} as const satisfies Readonly<Record<string, readonly ProgramState[]>>;

export type ProgramName = keyof typeof PROGRAM_STATES;

/** One signal to one program in one state. */
export interface SignalCase {
  readonly program: ProgramName;
  readonly state: ProgramState;
  readonly signal: TestedSignal;
}

const programs = Object.keys(PROGRAM_STATES) as readonly ProgramName[];

/** Every program in each of its states with each signal. */
export const SIGNAL_CASES: readonly SignalCase[] = programs.flatMap((program) =>
  PROGRAM_STATES[program].flatMap((state) => SIGNALS.map((signal) => ({ program, state, signal }))),
);
