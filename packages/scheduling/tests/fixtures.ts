import { setMaxListeners } from 'node:events';
import type { Configuration, RouteSpec, TargetSpec } from '@limpetnotch/declarations';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { createScheduler } from '../src/createScheduler';
import type { ScheduledCall } from '../src/scheduledCall';
import type { Scheduler } from '../src/scheduler';
import type { SchedulerSettings } from '../src/schedulerSettings';
import { schedulerSettingsSchema } from '../src/schedulerSettings';
import type { SchedulingPolicy } from '../src/schedulingPolicy';
import type { SchedulingRefusal, TargetGrant } from '../src/targetGrant';

export const settings = (changes: Partial<SchedulerSettings> = {}): SchedulerSettings =>
  schedulerSettingsSchema.parse({ availabilityZone: 'a', ...changes });

export const targetSpec = (changes: Partial<TargetSpec> = {}): TargetSpec => ({
  address: 'http://127.0.0.1:9000',
  availabilityZone: 'a',
  backend: { kind: 'engine', models: ['small'], fencing: 'obeyed', resumable: true },
  window: 4,
  state: 'serving',
  ...changes,
});

export const routeSpec = (changes: Partial<RouteSpec> = {}): RouteSpec => ({
  path: '/v1/chat/completions',
  methods: ['POST'],
  service: { kind: 'model', models: ['small'] },
  targets: ['one', 'two'],
  access: { kind: 'keyed' },
  idempotent: true,
  deadlineSeconds: 120,
  progressDeadlineSeconds: 15,
  retryRatio: 0.2,
  spendMicrosPerCall: 0,
  ...changes,
});

export interface ConfigurationOptions {
  readonly targets?: Readonly<Record<string, Partial<TargetSpec>>>;
  readonly weights?: Readonly<Record<string, number>>;
  readonly maximumQueuedCalls?: number;
  readonly route?: Partial<RouteSpec>;
}

export const configuration = (options: ConfigurationOptions = {}): Configuration => {
  const targets = options.targets ?? { one: {}, two: {} };
  const weights = options.weights ?? { north: 1, south: 1 };
  const route = routeSpec({ targets: Object.keys(targets), ...options.route });
  return {
    revision: 1,
    organisations: new Map(
      Object.entries(weights).map(([name, weight]) => [
        name,
        {
          weight,
          rate: { requestsPerSecond: 100, burst: 100 },
          maximumQueuedCalls: options.maximumQueuedCalls ?? 256,
        },
      ]),
    ),
    keys: new Map(),
    routes: new Map([['chat', route]]),
    targets: new Map(Object.entries(targets).map(([name, spec]) => [name, targetSpec(spec)])),
    budgets: new Map(),
  };
};

let calls = 0;

export const scheduledCall = (changes: Partial<ScheduledCall> = {}): ScheduledCall => {
  calls += 1;
  return {
    callId: `call-${calls}`,
    organisation: 'north',
    rootProgram: `program-${calls}`,
    route: 'chat',
    model: 'small',
    targets: ['one', 'two'],
    prefix: [{ digest: `digest-${calls}`, tokens: 1_000 }],
    maximumOutputTokens: 200,
    idempotent: true,
    requestDigest: `request-${calls}`,
    excludedTargets: [],
    ...changes,
  };
};

export interface TestScheduler {
  readonly scheduler: Scheduler;
  readonly metrics: MemoryMetrics;
}

export const startScheduler = (
  options: ConfigurationOptions = {},
  changes: Partial<SchedulerSettings> = {},
  policy: SchedulingPolicy = { kind: 'limpetnotch' },
): TestScheduler => {
  const metrics = new MemoryMetrics();
  const scheduler = createScheduler({
    instance: 'instance-1',
    logger: silentLogger,
    metrics,
    settings: settings(changes),
    policy,
  });
  scheduler.applyConfiguration(configuration(options));
  return { scheduler, metrics };
};

/** Signal of a caller that never cancels. */
export const neverAborted: AbortSignal = new AbortController().signal;

// Many calls of a test listen to this signal, which would exceed the default listener limit.
setMaxListeners(0, neverAborted);

/** Acquires a slot, which must be granted. */
export const acquireSlot = async (
  scheduler: Scheduler,
  call: ScheduledCall,
): Promise<TargetGrant> => {
  const result = await scheduler.acquire(call, neverAborted);
  if (result.isErr()) throw new Error(result.error.detail);
  return result.value;
};

/** Requests a slot, which must be refused. */
export const expectRefusal = async (
  scheduler: Scheduler,
  call: ScheduledCall,
  signal: AbortSignal = neverAborted,
): Promise<SchedulingRefusal> => {
  const result = await scheduler.acquire(call, signal);
  if (result.isOk()) throw new Error(`granted at ${result.value.target}`);
  return result.error;
};

export const answeredOutcome = {
  kind: 'answered',
  promptTokens: 1_000,
  outputTokens: 100,
  cachedTokens: 0,
} as const;
