import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { PrefixBlock, ScheduledCall, Scheduler } from '@limpetnotch/scheduling';
import { createScheduler, schedulerSettingsSchema } from '@limpetnotch/scheduling';
import { Command, Option } from 'clipanion';
import { build } from 'hdr-histogram-js';
import { fleetConfiguration, engineNames, MODEL, ROUTE } from './fleetConfiguration';
import { USER_PROFILES } from './userProfile';

const BOUND_MICROSECONDS = 50;
const MICROSECONDS = 1_000;
const HISTORY_BLOCKS = 40;
const BLOCK_TOKENS = 500;
const PROGRAMS = 500;

const prefixOf = (program: number): readonly PrefixBlock[] =>
  Array.from({ length: HISTORY_BLOCKS }, (_, index) => ({
    digest: index === 0 ? 'shared' : `${program}.${index}`,
    tokens: BLOCK_TOKENS,
  }));

/** `bench placement`: time of a decision and its bookkeeping, as a caller waits for it. */
export class PlacementCommand extends Command {
  static override paths = [['placement']];

  readonly targets = Option.String('--targets', '1500');

  readonly calls = Option.String('--calls', '20000');

  async execute(): Promise<number> {
    const targets = Number(this.targets);
    const scheduler = PlacementCommand.#scheduler(targets);
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    const names = engineNames({ ...USER_PROFILES.consortium, engines: targets });
    const total = Number(this.calls);
    for (let index = 0; index < 2 * total; index += 1) {
      const call = PlacementCommand.#call(index, names);
      const nanoseconds = await PlacementCommand.#place(scheduler, call);
      // The first half lets the compiler and the caches settle.
      if (index >= total) histogram.recordValue(Math.round(nanoseconds));
    }
    const microseconds = (percentile: number): string =>
      (histogram.getValueAtPercentile(percentile) / MICROSECONDS).toFixed(1);
    const mean = histogram.mean / MICROSECONDS;
    this.context.stdout.write(
      `${targets} targets: mean ${mean.toFixed(1)} us, p50 ${microseconds(50)} us, ` +
        `p95 ${microseconds(95)} us, p99 ${microseconds(99)} us\n` +
        `${mean <= BOUND_MICROSECONDS ? 'met' : 'MISSED'} (bound ${BOUND_MICROSECONDS} us)\n`,
    );
    scheduler.stop();
    return 0;
  }

  static async #place(scheduler: Scheduler, call: ScheduledCall): Promise<number> {
    const { signal } = new AbortController();
    const start = process.hrtime.bigint();
    const result = await scheduler.acquire(call, signal);
    const nanoseconds = Number(process.hrtime.bigint() - start);
    if (result.isErr()) throw new Error(result.error.detail);
    result.value.release({
      kind: 'answered',
      promptTokens: HISTORY_BLOCKS * BLOCK_TOKENS,
      outputTokens: 1,
      cachedTokens: 0,
    });
    return nanoseconds;
  }

  static #scheduler(targets: number): Scheduler {
    const scheduler = createScheduler({
      instance: 'instance-1',
      logger: silentLogger,
      metrics: new MemoryMetrics(),
      settings: schedulerSettingsSchema.parse({ availabilityZone: 'zone-a' }),
      policy: { kind: 'limpetnotch' },
    });
    scheduler.applyConfiguration(
      fleetConfiguration({ ...USER_PROFILES.consortium, engines: targets }),
    );
    return scheduler;
  }

  static #call(index: number, targets: readonly string[]): ScheduledCall {
    const program = index % PROGRAMS;
    return {
      callId: `call-${index}`,
      organisation: 'contractor-1',
      rootProgram: `program-${program}`,
      route: ROUTE,
      model: MODEL,
      targets,
      prefix: prefixOf(program),
      maximumOutputTokens: 256,
      idempotent: true,
      requestDigest: `request-${index}`,
      excludedTargets: [],
    };
  }
}
