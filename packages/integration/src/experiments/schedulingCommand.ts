import { Command, Option, UsageError } from 'clipanion';
import { z } from 'zod';
import { evaluateGoals } from './evaluateGoals';
import type { ExperimentReport, LoadPoint } from './experimentReport';
import { formatReport } from './formatReport';
import { POLICIES } from './policies';
import { runExperiment } from './runExperiment';
import type { UserProfile } from './userProfile';
import { USER_PROFILES } from './userProfile';
import { planWorkload } from './workload';
import { writeReport } from './writeReport';

const MILLISECONDS_PER_SECOND = 1_000;

const optionsSchema = z.object({
  user: z.enum(['consortium', 'authority']),
  seed: z.coerce.number().int(),
  durationSeconds: z.coerce.number().positive(),
  loads: z.array(z.coerce.number().positive()).min(1),
  settings: z.record(z.string(), z.coerce.number()),
});

type SchedulingOptions = z.infer<typeof optionsSchema>;

/** `bench scheduling`: runs the same programs under each policy at several loads. */
export class SchedulingCommand extends Command {
  static override paths = [['scheduling']];

  static override usage = Command.Usage({
    description: 'Compares scheduling policies under a virtual clock.',
    examples: [['At all loads', 'npm run bench -- scheduling --user consortium --seed 1']],
  });

  readonly user = Option.String('--user', 'consortium', { description: 'consortium or authority' });

  readonly seed = Option.String('--seed', '1');

  readonly duration = Option.String('--duration', '2400', {
    description: 'arrival period in seconds',
  });

  readonly loads = Option.String('--loads', '0.3,0.5,0.7,0.8,0.9');

  readonly policies = Option.String('--policies', POLICIES.map(({ kind }) => kind).join(','));

  readonly settings = Option.Array('--setting', [], {
    description: 'scheduler setting to override, such as runningCallMilliseconds=50',
  });

  readonly out = Option.String('--out', 'reports');

  async execute(): Promise<number> {
    const options = this.#parseOptions();
    const profile = USER_PROFILES[options.user];
    const points: LoadPoint[] = [];
    for (const load of options.loads) points.push(...(await this.#runLoad(profile, load, options)));
    const report: ExperimentReport = {
      user: options.user,
      seed: options.seed,
      durationSeconds: options.durationSeconds,
      points,
      goals: evaluateGoals(options.user, points),
    };
    const paths = await writeReport(this.out, report);
    this.context.stdout.write(`${formatReport(report)}\n\n${paths.join('\n')}\n`);
    return 0;
  }

  async #runLoad(
    profile: UserProfile,
    load: number,
    { seed, durationSeconds, settings }: SchedulingOptions,
  ): Promise<readonly LoadPoint[]> {
    const durationMilliseconds = durationSeconds * MILLISECONDS_PER_SECOND;
    const workload = planWorkload({ profile, load, durationMilliseconds, seed });
    const { offeredLoad, refusedOverRate } = workload;
    const points: LoadPoint[] = [];
    const selectedPolicies = this.policies.split(',');
    for (const policy of POLICIES.filter(({ kind }) => selectedPolicies.includes(kind))) {
      const figures = await runExperiment({ profile, policy, workload, seed, settings });
      points.push({ policy: policy.kind, load, offeredLoad, refusedOverRate, figures });
      this.context.stderr.write(`${policy.kind} at ${load} done\n`);
    }
    return points;
  }

  #parseOptions(): SchedulingOptions {
    const parsed = optionsSchema.safeParse({
      user: this.user,
      seed: this.seed,
      durationSeconds: this.duration,
      loads: this.loads.split(','),
      settings: Object.fromEntries(
        this.settings.map((setting) => {
          const [name, value] = setting.split('=');
          return [name, value];
        }),
      ),
    });
    if (!parsed.success) throw new UsageError(z.prettifyError(parsed.error));
    return parsed.data;
  }
}
