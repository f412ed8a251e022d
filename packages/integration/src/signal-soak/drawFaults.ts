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

/** Instances have loaded their configuration and joined the fleet by then. */
const FIRST_FAULT_MILLISECONDS = 1_500;
const MEAN_GAP_MILLISECONDS = 1_200;
const FAULT_FREE_END_MILLISECONDS = 3_000;
/** Earliest end of a drain, which outlasts the balancer's detection delay. */
const EARLIEST_DRAIN_END_MILLISECONDS = 2_300;
const HANG_UP_INTERVAL_MILLISECONDS = 40;
/** A start takes about 300 ms of processor time, 60 ms of it before the program's first line. */
const EARLIEST_PROCESSOR_MILLISECONDS = 100;
const LATEST_PROCESSOR_MILLISECONDS = 400;

const DRAIN_SIGNALS: readonly SoakSignal[] = ['SIGTERM', 'SIGTERM', 'SIGHUP', 'SIGINT', 'SIGUSR2'];
const START_SIGNALS: readonly SoakSignal[] = ['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGUSR2'];

/** Draws faults, with times relative to the start of the pattern. */
type Pattern = (options: DrawFaultsOptions) => readonly PlannedFault[];

const at = (atMilliseconds: number, fault: SoakFault): PlannedFault => ({ atMilliseconds, fault });

const signal = (atMilliseconds: number, instance: number, name: SoakSignal): PlannedFault =>
  at(atMilliseconds, { kind: 'signal', instance, signal: name });

const pickInstance = ({ random, instances }: DrawFaultsOptions): number =>
  random.integer(0, instances - 1);

const drawMany = <Item>(count: number, draw: (index: number) => Item): Item[] =>
  Array.from({ length: count }, (_, index) => draw(index));

const stopInstance: Pattern = (options) => [signal(0, pickInstance(options), 'SIGTERM')];

/** A stop with further signals during the drain. */
const stopWithSignals: Pattern = (options) => {
  const { random, graceMilliseconds } = options;
  const instance = pickInstance(options);
  return [
    signal(0, instance, 'SIGTERM'),
    ...drawMany(random.integer(1, 3), () =>
      signal(random.integer(1, graceMilliseconds), instance, random.pick(DRAIN_SIGNALS)),
    ),
  ];
};

/** A stop with hang-ups until the process ends. */
const stopWithHangUps: Pattern = (options) => {
  const instance = pickInstance(options);
  const span = options.graceMilliseconds - EARLIEST_DRAIN_END_MILLISECONDS;
  const count = Math.floor(span / HANG_UP_INTERVAL_MILLISECONDS);
  return [
    signal(0, instance, 'SIGTERM'),
    ...drawMany(count, (index) =>
      signal(
        EARLIEST_DRAIN_END_MILLISECONDS + index * HANG_UP_INTERVAL_MILLISECONDS,
        instance,
        'SIGHUP',
      ),
    ),
  ];
};

/** Stops each instance before the previous one has restarted, with hang-ups of others. */
const rollingRestart: Pattern = (options) => {
  const { random, instances } = options;
  const first = pickInstance(options);
  const gap = random.integer(0, 2_500);
  return drawMany(random.integer(2, 3), (index) => [
    signal(index * gap, (first + index) % instances, 'SIGTERM'),
    signal(index * gap, pickInstance(options), 'SIGHUP'),
  ]).flat();
};

/** A stop while several targets are slow or unresponsive, so that the drain uses its full time. */
const stopBesideFaultyTargets: Pattern = (options) => {
  const { random, targets, graceMilliseconds } = options;
  const faulty = drawMany(random.integer(2, 4), () => {
    const target = random.integer(0, targets - 1);
    const mode = random.pick(['hang', 'slow'] as const);
    return [
      at(random.integer(0, 1_500), { kind: 'target-mode', target, mode }),
      at(graceMilliseconds, { kind: 'target-mode', target, mode: 'sound' }),
    ];
  });
  return [signal(700, pickInstance(options), 'SIGTERM'), ...faulty.flat()];
};

const sendHangUps: Pattern = (options) => {
  const instance = pickInstance(options);
  return drawMany(options.random.integer(1, 3), () =>
    signal(options.random.integer(0, 500), instance, 'SIGHUP'),
  );
};

const sendOtherSignal: Pattern = (options) => [
  signal(0, pickInstance(options), options.random.pick(['SIGINT', 'SIGUSR2', 'SIGKILL'])),
];

const pauseInstance: Pattern = (options) => {
  const instance = pickInstance(options);
  return [
    signal(0, instance, 'SIGSTOP'),
    signal(options.random.integer(300, 2_500), instance, 'SIGCONT'),
  ];
};

const signalAtStart: Pattern = (options) => [
  at(0, {
    kind: 'signal-at-start',
    instance: pickInstance(options),
    signal: options.random.pick(START_SIGNALS),
    processorMilliseconds: options.random.integer(
      EARLIEST_PROCESSOR_MILLISECONDS,
      LATEST_PROCESSOR_MILLISECONDS,
    ),
  }),
];

const changeSettings: Pattern = (options) => {
  const instance = pickInstance(options);
  const change = at(0, { kind: 'settings', instance });
  return options.random.chance(0.5) ? [change] : [change, signal(20, instance, 'SIGHUP')];
};

const changeTargetMode: Pattern = ({ random, targets }) => {
  const target = random.integer(0, targets - 1);
  const mode = random.pick([
    'hang',
    'reset',
    'slow',
    'errors',
    'until-close',
    'until-close-reset',
  ] as const);
  return [
    at(0, { kind: 'target-mode', target, mode }),
    at(random.integer(500, 5_000), { kind: 'target-mode', target, mode: 'sound' }),
  ];
};

const endTarget: Pattern = ({ random, targets }) => [
  at(0, {
    kind: random.pick(['target-crash', 'target-leave']),
    target: random.integer(0, targets - 1),
    awayMilliseconds: random.integer(300, 3_000),
    keepsAddress: random.chance(0.5),
  }),
];

const publishConfiguration: Pattern = () => [at(0, { kind: 'configuration' })];

const PATTERNS: readonly Pattern[] = [
  stopInstance,
  stopWithSignals,
  stopWithSignals,
  stopWithHangUps,
  rollingRestart,
  rollingRestart,
  stopBesideFaultyTargets,
  stopBesideFaultyTargets,
  sendHangUps,
  sendOtherSignal,
  pauseInstance,
  signalAtStart,
  changeSettings,
  changeTargetMode,
  changeTargetMode,
  changeTargetMode,
  endTarget,
  endTarget,
  publishConfiguration,
];

/** Draws overlapping fault patterns. */
export const drawFaults = (options: DrawFaultsOptions): readonly PlannedFault[] => {
  const { random, milliseconds } = options;
  const planned: PlannedFault[] = [];
  let start = FIRST_FAULT_MILLISECONDS;
  while (start < milliseconds - FAULT_FREE_END_MILLISECONDS) {
    const from = start;
    const pattern = random.pick(PATTERNS)(options);
    planned.push(...pattern.map((one) => at(Math.round(from + one.atMilliseconds), one.fault)));
    start += random.exponential(MEAN_GAP_MILLISECONDS);
  }
  return planned;
};
