import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { ScheduledCall, Scheduler, TargetGrant } from '@limpetnotch/scheduling';
import { createScheduler, schedulerSettingsSchema } from '@limpetnotch/scheduling';
import { Command, Option } from 'clipanion';
import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import { engineNames, fleetConfiguration, MODEL, ROUTE } from './fleetConfiguration';
import { RandomSource } from './randomSource';
import { USER_PROFILES } from './userProfile';

const MAXIMUM_MEAN_MICROSECONDS = 50;
const NANOSECONDS_PER_MICROSECOND = 1_000;
const PROGRAMS = 14_000;
const ACTIVE_CALLS_PER_TARGET = 6;
const HISTORY_BLOCKS = { least: 1, most: 60 };
const BLOCK_TOKENS = { least: 100, most: 1_500 };

interface ActiveCall {
  readonly grant: TargetGrant;
  readonly promptTokens: number;
}

/** `bench placement`: measures the placement latency that a caller sees, bookkeeping included. */
export class PlacementCommand extends Command {
  static override paths = [['placement']];

  readonly targets = Option.String('--targets', '1500');

  readonly calls = Option.String('--calls', '20000');

  async execute(): Promise<number> {
    const targets = Number(this.targets);
    const scheduler = PlacementCommand.#createScheduler(targets);
    const names = engineNames({ ...USER_PROFILES.consortium, engines: targets });
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    const random = new RandomSource(1);
    const activeCalls: ActiveCall[] = [];
    const warmUpCalls = targets * ACTIVE_CALLS_PER_TARGET;
    const total = warmUpCalls + Number(this.calls);
    for (let index = 0; index < total; index += 1) {
      const call = PlacementCommand.#createCall(index, random, names);
      const nanoseconds = await PlacementCommand.#placeCall(scheduler, call, activeCalls);
      if (index >= warmUpCalls) histogram.recordValue(Math.round(nanoseconds));
      if (activeCalls.length > warmUpCalls) PlacementCommand.#endCall(activeCalls.shift());
    }
    this.context.stdout.write(PlacementCommand.#formatSummary(targets, histogram));
    scheduler.stop();
    return 0;
  }

  static #formatSummary(targets: number, histogram: Histogram): string {
    const microseconds = (percentile: number): string =>
      (histogram.getValueAtPercentile(percentile) / NANOSECONDS_PER_MICROSECOND).toFixed(1);
    const mean = histogram.mean / NANOSECONDS_PER_MICROSECOND;
    return (
      `${targets} targets: mean ${mean.toFixed(1)} us, p50 ${microseconds(50)} us, ` +
      `p95 ${microseconds(95)} us, p99 ${microseconds(99)} us\n` +
      `${mean <= MAXIMUM_MEAN_MICROSECONDS ? 'met' : 'MISSED'} (mean, bound ${MAXIMUM_MEAN_MICROSECONDS} us)\n`
    );
  }

  static async #placeCall(
    scheduler: Scheduler,
    call: ScheduledCall,
    activeCalls: ActiveCall[],
  ): Promise<number> {
    const { signal } = new AbortController();
    const start = process.hrtime.bigint();
    const result = await scheduler.acquire(call, signal);
    const nanoseconds = Number(process.hrtime.bigint() - start);
    if (result.isErr()) throw new Error(result.error.detail);
    const promptTokens = call.prefix.reduce((sum, { tokens }) => sum + tokens, 0);
    result.value.progress(1);
    activeCalls.push({ grant: result.value, promptTokens });
    return nanoseconds;
  }

  static #endCall(activeCall: ActiveCall | undefined): void {
    if (!activeCall) return;
    const { grant, promptTokens } = activeCall;
    grant.release({ kind: 'answered', promptTokens, outputTokens: 100, cachedTokens: 0 });
  }

  static #createScheduler(targets: number): Scheduler {
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

  static #createCall(
    index: number,
    random: RandomSource,
    targets: readonly string[],
  ): ScheduledCall {
    const program = random.integer({ least: 1, most: PROGRAMS });
    const prefix = Array.from({ length: random.integer(HISTORY_BLOCKS) }, (_, block) => ({
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
