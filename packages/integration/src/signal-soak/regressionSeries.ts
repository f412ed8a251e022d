import type { PlannedFault, SoakFault, SoakSignal } from './soakFault';

/** A series of faults that once violated a guarantee, with the traffic that reproduced it. */
export interface RegressionSeries {
  readonly name: string;
  /** What failed, and why. */
  readonly cause: string;
  readonly seed: number;
  readonly seconds: number;
  /** Names of the routes that callers use; all if omitted. */
  readonly routes?: readonly string[];
  readonly faults: readonly PlannedFault[];
}

const at = (atMilliseconds: number, fault: SoakFault): PlannedFault => ({ atMilliseconds, fault });

/** Signals to one instance, each at its time. */
const signals = (
  instance: number,
  ...sent: readonly (readonly [number, SoakSignal])[]
): readonly PlannedFault[] =>
  sent.map(([time, signal]) => at(time, { kind: 'signal', instance, signal }));

const signalAtStart = (
  atMilliseconds: number,
  instance: number,
  signal: SoakSignal,
): PlannedFault =>
  at(atMilliseconds, { kind: 'signal-at-start', instance, signal, processorMilliseconds: 120 });

/** Makes a target unresponsive; targets 0 to 3 are plain services, 4 to 7 are engines. */
const unresponsiveTarget = (target: number, from: number, to: number): readonly PlannedFault[] => [
  at(from, { kind: 'target-mode', target, mode: 'hang' }),
  at(to, { kind: 'target-mode', target, mode: 'sound' }),
];

const hangUpsUntilEnd = (instance: number, from: number, to: number): readonly PlannedFault[] =>
  Array.from({ length: Math.floor((to - from) / 10) }, (_, index) =>
    at(from + index * 10, { kind: 'signal', instance, signal: 'SIGHUP' }),
  );

/** Every series that failed before its mend, shortened to the minimum that shows its cause. */
export const REGRESSION_SERIES: readonly RegressionSeries[] = [
  {
    name: 'second SIGTERM within the drain',
    cause: 'the listener was removed by the first one, so that the second ended the process',
    seed: 1,
    seconds: 6,
    faults: signals(0, [1_500, 'SIGTERM'], [2_500, 'SIGTERM']),
  },
  {
    name: 'SIGINT, then SIGINT',
    cause: 'the same for SIGINT',
    seed: 1,
    seconds: 6,
    faults: signals(1, [1_500, 'SIGINT'], [2_000, 'SIGINT']),
  },
  {
    name: 'SIGHUP while starting',
    cause: 'the listener was added after the settings were read and the servers were created',
    seed: 1,
    seconds: 5,
    faults: [signalAtStart(1_500, 0, 'SIGHUP')],
  },
  {
    name: 'SIGTERM while starting',
    cause:
      'the listener was added when the gateway was created, so that the signal ended the process',
    seed: 1,
    seconds: 5,
    faults: [signalAtStart(1_500, 0, 'SIGTERM')],
  },
  {
    name: 'SIGHUP up to the end of a drain',
    cause: 'the listener was removed before the process ended',
    seed: 1,
    seconds: 6,
    faults: [...signals(0, [1_000, 'SIGTERM']), ...hangUpsUntilEnd(0, 3_300, 5_500)],
  },
  {
    name: 'SIGUSR2 while serving',
    cause: 'nothing listens for it, and by default it ends a process',
    seed: 1,
    seconds: 5,
    faults: signals(0, [1_500, 'SIGUSR2']),
  },
  {
    name: 'silent engine',
    cause: 'a stream aborted at an unresponsive target was sent to one target more than allowed',
    seed: 1,
    seconds: 7,
    routes: ['stream', 'turn'],
    faults: unresponsiveTarget(4, 1_500, 5_000),
  },
  {
    name: 'silent engine within a drain',
    cause: 'a stream that may not be resumed was cut as its target was unresponsive for 700 ms',
    seed: 2,
    seconds: 8,
    routes: ['stream-once'],
    faults: [
      ...unresponsiveTarget(4, 2_000, 5_500),
      ...signals(0, [2_050, 'SIGTERM']),
      ...signals(1, [2_300, 'SIGTERM']),
    ],
  },
  {
    name: 'requests late in a drain',
    cause: 'requests on open connections were accepted until the end of the drain, and then cut',
    seed: 1,
    seconds: 9,
    routes: ['safe-twice'],
    faults: [
      ...[0, 1, 2, 3].flatMap((target) => unresponsiveTarget(target, 2_400, 8_000)),
      ...signals(0, [2_500, 'SIGTERM']),
      ...signals(1, [2_600, 'SIGTERM']),
    ],
  },
  {
    name: 'paused instance',
    cause: 'after a pause, a target whose response waited in the socket was deemed unresponsive',
    seed: 1,
    seconds: 6,
    routes: ['stream', 'turn'],
    faults: signals(0, [2_000, 'SIGSTOP'], [3_400, 'SIGCONT']),
  },
  {
    name: 'targets refuse what they have run',
    cause: 'their status 503 reached callers, for whom it meant that the request had not run',
    seed: 1,
    seconds: 7,
    routes: ['unsafe', 'unsafe-twice', 'stream-once', 'safe-twice'],
    faults: [
      ...[0, 1, 4, 5].flatMap((target) => [
        at(1_000, { kind: 'target-mode', target, mode: 'refusals' } as const),
        at(6_000, { kind: 'target-mode', target, mode: 'sound' } as const),
      ]),
      ...signals(0, [2_000, 'SIGHUP'], [2_500, 'SIGTERM']),
      ...signals(1, [3_500, 'SIGTERM']),
    ],
  },
];
