import { Command, Option, UsageError } from 'clipanion';
import { z } from 'zod';
import { experimentGoals } from './experimentGoals';
import type { ExperimentReport, LoadPoint } from './experimentReport';
import { experimentTable } from './experimentTable';
import { POLICIES } from './policies';
import { runExperiment } from './runExperiment';
import type { UserProfile } from './userProfile';
import { USER_PROFILES } from './userProfile';
import { planWorkload } from './workload';
import { writeReport } from './writeReport';

const MILLISECONDS = 1_000;

const optionsSchema = z.object({
  user: z.enum(['consortium', 'authority']),
  seed: z.coerce.number().int(),
  durationSeconds: z.coerce.number().positive(),
  loads: z.array(z.coerce.number().positive()).min(1),
  settings: z.record(z.string(), z.coerce.number()),
});

type SchedulingOptions = z.infer<typeof optionsSchema>;

/** `bench scheduling`: all policies through the same programs at several loads. */
export class SchedulingCommand extends Command {
  static override paths = [['scheduling']];

  static override usage = Command.Usage({
    description: 'Compares scheduling policies under a virtual clock.',
    examples: [['At all loads', 'npm run bench -- scheduling --user consortium --seed 1']],
  });

  readonly user = Option.String('--user', 'consortium', { description: 'consortium or authority' });

  readonly seed = Option.String('--seed', '1');

  readonly duration = Option.String('--duration', '2400', { description: 'seconds of arrivals' });

  readonly loads = Option.String('--loads', '0.3,0.5,0.7,0.8,0.9');

  readonly policies = Option.String('--policies', POLICIES.map(({ kind }) => kind).join(','));

  readonly settings = Option.Array('--setting', [], {
    description: 'a setting of our scheduler for a trial, such as runningCallMilliseconds=50',
  });

  readonly out = Option.String('--out', 'reports');

  async execute(): Promise<number> {
    const options = this.#options();
    const profile = USER_PROFILES[options.user];
    const points: LoadPoint[] = [];
    for (const load of options.loads) points.push(...(await this.#runLoad(profile, load, options)));
    const report: ExperimentReport = {
      user: options.user,
      seed: options.seed,
      durationSeconds: options.durationSeconds,
      points,
      goals: experimentGoals(options.user, points),
    };
    const paths = await writeReport(this.out, report);
    this.context.stdout.write(`${experimentTable(report)}\n\n${paths.join('\n')}\n`);
    return 0;
  }

  async #runLoad(
    profile: UserProfile,
    load: number,
    { seed, durationSeconds, settings }: SchedulingOptions,
  ): Promise<readonly LoadPoint[]> {
    const durationMilliseconds = durationSeconds * MILLISECONDS;
    const workload = planWorkload({ profile, load, durationMilliseconds, seed });
    const { offeredLoad, refusedOverRate } = workload;
    const points: LoadPoint[] = [];
    const chosen = this.policies.split(',');
    for (const policy of POLICIES.filter(({ kind }) => chosen.includes(kind))) {
      const figures = await runExperiment({ profile, policy, workload, seed, settings });
      points.push({ policy: policy.kind, load, offeredLoad, refusedOverRate, figures });
      this.context.stderr.write(`${policy.kind} at ${load} done\n`);
    }
    return points;
  }

  #options(): SchedulingOptions {
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
