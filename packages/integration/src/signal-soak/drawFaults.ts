import type { SeededRandom } from '@limpetnotch/stand-ins';
import type { PlannedFault, SoakFault, SoakSignal } from './soakFault';

/** Options of {@link drawFaults}. */
export interface DrawFaultsOptions {
  readonly random: SeededRandom;
  readonly milliseconds: number;
  readonly instances: number;
  readonly targets: number;
  readonly graceMilliseconds: number;
}

/** Instances have their configuration and membership by then. */
const FIRST_FAULT_MILLISECONDS = 1_500;
const MEAN_GAP_MILLISECONDS = 1_200;
const CALM_BEFORE_END_MILLISECONDS = 3_000;
/** The drain ends after this at the earliest, as it outlasts the balancer's lag. */
const EARLIEST_END_MILLISECONDS = 2_300;
const HANG_UP_GAP_MILLISECONDS = 40;
/** A start takes about 300 ms of processor time, 60 of them before the program's first line. */
const EARLIEST_PROCESSOR_MILLISECONDS = 100;
const LATEST_PROCESSOR_MILLISECONDS = 400;

const DRAIN_SIGNALS: readonly SoakSignal[] = ['SIGTERM', 'SIGTERM', 'SIGHUP', 'SIGINT', 'SIGUSR2'];
const START_SIGNALS: readonly SoakSignal[] = ['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGUSR2'];

/** Faults with their times from the start of a pattern. */
type Pattern = (options: DrawFaultsOptions) => readonly PlannedFault[];

const at = (atMilliseconds: number, fault: SoakFault): PlannedFault => ({ atMilliseconds, fault });

const signal = (atMilliseconds: number, instance: number, name: SoakSignal): PlannedFault =>
  at(atMilliseconds, { kind: 'signal', instance, signal: name });

const anInstance = ({ random, instances }: DrawFaultsOptions): number =>
  random.integer(0, instances - 1);

const several = <Item>(count: number, draw: (index: number) => Item): Item[] =>
  Array.from({ length: count }, (_, index) => draw(index));

const stop: Pattern = (options) => [signal(0, anInstance(options), 'SIGTERM')];

/** A stop with more signals while it drains. */
const stopWithSignals: Pattern = (options) => {
  const { random, graceMilliseconds } = options;
  const instance = anInstance(options);
  return [
    signal(0, instance, 'SIGTERM'),
    ...several(random.integer(1, 3), () =>
      signal(random.integer(1, graceMilliseconds), instance, random.pick(DRAIN_SIGNALS)),
    ),
  ];
};

/** A stop with hang-ups up to the last moment of the process. */
const stopWithHangUps: Pattern = (options) => {
  const instance = anInstance(options);
  const span = options.graceMilliseconds - EARLIEST_END_MILLISECONDS;
  const count = Math.floor(span / HANG_UP_GAP_MILLISECONDS);
  return [
    signal(0, instance, 'SIGTERM'),
    ...several(count, (index) =>
      signal(EARLIEST_END_MILLISECONDS + index * HANG_UP_GAP_MILLISECONDS, instance, 'SIGHUP'),
    ),
  ];
};

/** Stops one instance after another before the one before is back, with hang-ups of others. */
const rollingRestart: Pattern = (options) => {
  const { random, instances } = options;
  const first = anInstance(options);
  const gap = random.integer(0, 2_500);
  return several(random.integer(2, 3), (index) => [
    signal(index * gap, (first + index) % instances, 'SIGTERM'),
    signal(index * gap, anInstance(options), 'SIGHUP'),
  ]).flat();
};

/** A stop while several targets are slow or silent, so that the drain lasts up to its end. */
const stopBesideFaultyTargets: Pattern = (options) => {
  const { random, targets, graceMilliseconds } = options;
  const faulty = several(random.integer(2, 4), () => {
    const target = random.integer(0, targets - 1);
    const mode = random.pick(['hang', 'slow'] as const);
    return [
      at(random.integer(0, 1_500), { kind: 'target-mode', target, mode }),
      at(graceMilliseconds, { kind: 'target-mode', target, mode: 'sound' }),
    ];
  });
  return [signal(700, anInstance(options), 'SIGTERM'), ...faulty.flat()];
};

const hangUps: Pattern = (options) => {
  const instance = anInstance(options);
  return several(options.random.integer(1, 3), () =>
    signal(options.random.integer(0, 500), instance, 'SIGHUP'),
  );
};

const otherSignal: Pattern = (options) => [
  signal(0, anInstance(options), options.random.pick(['SIGINT', 'SIGUSR2', 'SIGKILL'])),
];

const pause: Pattern = (options) => {
  const instance = anInstance(options);
  return [
    signal(0, instance, 'SIGSTOP'),
    signal(options.random.integer(300, 2_500), instance, 'SIGCONT'),
  ];
};

const signalAtStart: Pattern = (options) => [
  at(0, {
    kind: 'signal-at-start',
    instance: anInstance(options),
    signal: options.random.pick(START_SIGNALS),
    processorMilliseconds: options.random.integer(
      EARLIEST_PROCESSOR_MILLISECONDS,
      LATEST_PROCESSOR_MILLISECONDS,
    ),
  }),
];

const settings: Pattern = (options) => {
  const instance = anInstance(options);
  const change = at(0, { kind: 'settings', instance });
  return options.random.chance(0.5) ? [change] : [change, signal(20, instance, 'SIGHUP')];
};

const targetMode: Pattern = ({ random, targets }) => {
  const target = random.integer(0, targets - 1);
  const mode = random.pick(['hang', 'hang', 'reset', 'slow', 'errors'] as const);
  return [
    at(0, { kind: 'target-mode', target, mode }),
    at(random.integer(500, 5_000), { kind: 'target-mode', target, mode: 'sound' }),
  ];
};

const targetEnd: Pattern = ({ random, targets }) => [
  at(0, {
    kind: random.pick(['target-crash', 'target-leave']),
    target: random.integer(0, targets - 1),
    awayMilliseconds: random.integer(300, 3_000),
    keepsAddress: random.chance(0.5),
  }),
];

const configuration: Pattern = () => [at(0, { kind: 'configuration' })];

const PATTERNS: readonly Pattern[] = [
  stop,
  stopWithSignals,
  stopWithSignals,
  stopWithHangUps,
  rollingRestart,
  rollingRestart,
  stopBesideFaultyTargets,
  stopBesideFaultyTargets,
  hangUps,
  otherSignal,
  pause,
  signalAtStart,
  settings,
  targetMode,
  targetMode,
  targetMode,
  targetEnd,
  targetEnd,
  configuration,
];

/** Draws faults in series that overlap. */
export const drawFaults = (options: DrawFaultsOptions): readonly PlannedFault[] => {
  const { random, milliseconds } = options;
  const planned: PlannedFault[] = [];
  let start = FIRST_FAULT_MILLISECONDS;
  while (start < milliseconds - CALM_BEFORE_END_MILLISECONDS) {
    const from = start;
    const pattern = random.pick(PATTERNS)(options);
    planned.push(...pattern.map((one) => at(Math.round(from + one.atMilliseconds), one.fault)));
    start += random.exponential(MEAN_GAP_MILLISECONDS);
  }
  return planned;
};
