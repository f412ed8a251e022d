import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { ScheduledCall, Scheduler, TargetGrant } from '@limpetnotch/scheduling';
import { createScheduler, schedulerSettingsSchema } from '@limpetnotch/scheduling';
import { Command, Option } from 'clipanion';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { engineNames, fleetConfiguration, MODEL, ROUTE } from './fleetConfiguration';
import { RandomSource } from './randomSource';
import { USER_PROFILES } from './userProfile';

const BOUND_MICROSECONDS = 50;
/** Nanoseconds in a microsecond. */
const NANOSECONDS = 1_000;
const PROGRAMS = 14_000;
const CALLS_UNDER_WAY_PER_TARGET = 6;
const HISTORY = { least: 1, most: 60 };
const BLOCK_TOKENS = { least: 100, most: 1_500 };

interface HeldCall {
  readonly grant: TargetGrant;
  readonly promptTokens: number;
}

/** `bench placement`: time of a decision and its bookkeeping, as a caller waits for it. */
export class PlacementCommand extends Command {
  static override paths = [['placement']];

  readonly targets = Option.String('--targets', '1500');

  readonly calls = Option.String('--calls', '20000');

  async execute(): Promise<number> {
    const targets = Number(this.targets);
    const scheduler = PlacementCommand.#scheduler(targets);
    const names = engineNames({ ...USER_PROFILES.consortium, engines: targets });
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    const random = new RandomSource(1);
    const held: HeldCall[] = [];
    const warmUp = targets * CALLS_UNDER_WAY_PER_TARGET;
    const total = warmUp + Number(this.calls);
    for (let index = 0; index < total; index += 1) {
      const call = PlacementCommand.#call(index, random, names);
      const nanoseconds = await PlacementCommand.#place(scheduler, call, held);
      if (index >= warmUp) histogram.recordValue(Math.round(nanoseconds));
      if (held.length > warmUp) PlacementCommand.#end(held.shift());
    }
    this.context.stdout.write(PlacementCommand.#summary(targets, histogram));
    scheduler.stop();
    return 0;
  }

  static #summary(targets: number, histogram: Histogram): string {
    const microseconds = (percentile: number): string =>
      (histogram.getValueAtPercentile(percentile) / NANOSECONDS).toFixed(1);
    const mean = histogram.mean / NANOSECONDS;
    return (
      `${targets} targets: mean ${mean.toFixed(1)} us, p50 ${microseconds(50)} us, ` +
      `p95 ${microseconds(95)} us, p99 ${microseconds(99)} us\n` +
      `${mean <= BOUND_MICROSECONDS ? 'met' : 'MISSED'} (mean, bound ${BOUND_MICROSECONDS} us)\n`
    );
  }

  static async #place(
    scheduler: Scheduler,
    call: ScheduledCall,
    held: HeldCall[],
  ): Promise<number> {
    const { signal } = new AbortController();
    const start = process.hrtime.bigint();
    const result = await scheduler.acquire(call, signal);
    const nanoseconds = Number(process.hrtime.bigint() - start);
    if (result.isErr()) throw new Error(result.error.detail);
    const promptTokens = call.prefix.reduce((sum, { tokens }) => sum + tokens, 0);
    result.value.progress(1);
    held.push({ grant: result.value, promptTokens });
    return nanoseconds;
  }

  static #end(held: HeldCall | undefined): void {
    if (!held) return;
    const { grant, promptTokens } = held;
    grant.release({ kind: 'answered', promptTokens, outputTokens: 100, cachedTokens: 0 });
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

  static #call(index: number, random: RandomSource, targets: readonly string[]): ScheduledCall {
    const program = random.integer({ least: 1, most: PROGRAMS });
    const prefix = Array.from({ length: random.integer(HISTORY) }, (_, block) => ({
      digest: block === 0 ? 'shared' : `${program}.${block}`,
      tokens: random.integer(BLOCK_TOKENS),
    }));
    return {
      callId: `call-${index}`,
      organisation: `contractor-${1 + (program % 4)}`,
      rootProgram: `program-${program}`,
      route: ROUTE,
      model: MODEL,
      targets,
      prefix,
      maximumOutputTokens: 256,
      idempotent: true,
      requestDigest: `request-${index}`,
      excludedTargets: [],
    };
  }
}
