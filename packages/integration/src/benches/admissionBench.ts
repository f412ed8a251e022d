import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { Command, Option, UsageError } from 'clipanion';
import { z } from 'zod';
import { formatTable } from '../quickstart/formatTable';
import { measureChecks } from './admission/measureChecks';
import { measureMemory } from './admission/measureMemory';
import { measureRefusals } from './admission/measureRefusals';
import type { SliceFigures, SlicePoint } from './admission/measureSlices';
import { measureSlices } from './admission/measureSlices';

const KEY_COUNT = 50_000;
const ORGANISATION_COUNT = 16_000;
const REQUESTS_PER_SECOND = 1_600;

const POINTS: readonly Omit<SlicePoint, 'seconds'>[] = [
  { entries: 1, owners: 4, organisations: 100, requestsPerSecond: REQUESTS_PER_SECOND },
  { entries: 4, owners: 4, organisations: 8, requestsPerSecond: REQUESTS_PER_SECOND },
  { entries: 4, owners: 4, organisations: 100, requestsPerSecond: REQUESTS_PER_SECOND },
  { entries: 4, owners: 4, organisations: 1_000, requestsPerSecond: REQUESTS_PER_SECOND },
  { entries: 16, owners: 16, organisations: 1_000, requestsPerSecond: REQUESTS_PER_SECOND },
  { entries: 64, owners: 64, organisations: 1_000, requestsPerSecond: REQUESTS_PER_SECOND },
  { entries: 64, owners: 64, organisations: 16_000, requestsPerSecond: REQUESTS_PER_SECOND },
];

const optionsSchema = z.object({
  seconds: z.coerce.number().positive(),
  leaseMilliseconds: z.coerce.number().positive(),
  seed: z.coerce.number().int(),
});

type AdmissionOptions = z.infer<typeof optionsSchema>;

const formatRows = (rows: readonly object[]): string =>
  formatTable([
    Object.keys(rows[0] ?? {}),
    ...rows.map((row) => Object.values(row).map((value) => String(value))),
  ]);

/** `bench admission`: cost of checks, memory, exchanges, and refusals within the rate. */
export class AdmissionBench extends Command {
  static override paths = [['admission']];

  static override usage = Command.Usage({
    description:
      'Measures admission: checks, memory, messages, and refusals of requests within their rate.',
    examples: [['At the usual sizes', 'npm run bench -- admission']],
  });

  readonly seconds = Option.String('--seconds', '3', {
    description: 'length of each measurement of messages',
  });

  readonly lease = Option.String('--lease-milliseconds', '3000');

  readonly seed = Option.String('--seed', '1');

  readonly out = Option.String('--out', 'reports');

  async execute(): Promise<number> {
    const options = this.#options();
    const checks = [measureChecks(KEY_COUNT)];
    const memory = [await measureMemory(ORGANISATION_COUNT)];
    const refusals = [
      await measureRefusals({ ...options, situation: 'calm', seconds: 15 }),
      await measureRefusals({ ...options, situation: 'takeover', seconds: 30 }),
    ];
    const slices = await AdmissionBench.#slices(options);
    await this.#write({ options, checks, memory, slices, refusals });
    this.context.stdout.write(
      `${[checks, memory, slices, refusals].map(formatRows).join('\n\n')}\n`,
    );
    return refusals.every(({ goalMet }) => goalMet) ? 0 : 1;
  }

  static async #slices({ seconds, seed }: AdmissionOptions): Promise<readonly SliceFigures[]> {
    const figures: SliceFigures[] = [];
    for (const point of POINTS) figures.push(await measureSlices({ ...point, seconds }, seed));
    return figures;
  }

  async #write(report: object): Promise<void> {
    await mkdir(this.out, { recursive: true });
    const text = `${JSON.stringify(report, undefined, 2)}\n`;
    await writeFile(join(this.out, 'admission.json'), text);
    this.context.stdout.write(text);
  }

  #options(): AdmissionOptions {
    const { seconds, seed, lease } = this;
    const parsed = optionsSchema.safeParse({ seconds, seed, leaseMilliseconds: lease });
    if (!parsed.success) throw new UsageError(z.prettifyError(parsed.error));
    return parsed.data;
  }
}
