import { mkdtemp, open, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { create } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';
import { silentLogger } from '@limpetnotch/observability';
import { openSegmentFiles, TurnLog } from '@limpetnotch/turn-log';
import { Command, Option } from 'clipanion';
import { formatTable } from '../quickstart/formatTable';

/** Number of concurrent appends. */
const CONCURRENCY = 64;
const MILLISECONDS_PER_SECOND = 1_000;
const RETENTION_MILLISECONDS = 3_600_000;
const ID_DIGITS = 16;

const createTurn = (number: number, bytes: number): Turn =>
  create(TurnSchema, {
    organisation: 'organisation',
    id: number.toString(16).padStart(ID_DIGITS, '0'),
    expiresAtMilliseconds: Date.now() + RETENTION_MILLISECONDS,
    input: Buffer.alloc(bytes / 2, 'i'),
    output: Buffer.alloc(bytes / 2, 'o'),
  });

const openLog = async (directory: string): Promise<TurnLog> => {
  const files = await openSegmentFiles(directory);
  const log = await TurnLog.open({ files, logger: silentLogger });
  if (log.isErr()) throw new Error(log.error.kind);
  return log.value;
};

const measureMilliseconds = async (run: () => Promise<void>): Promise<number> => {
  const startedAt = performance.now();
  await run();
  return performance.now() - startedAt;
};

/** Writes the same number of bytes to a plain file, with one sync per group, as the baseline. */
const writePlainFile = async (directory: string, groups: number, bytes: number): Promise<void> => {
  const file = await open(join(directory, 'bare'), 'ax');
  const group = Buffer.alloc(bytes * CONCURRENCY, 'b');
  for (let written = 0; written < groups; written += 1) {
    await file.appendFile(group);
    await file.datasync();
  }
  await file.close();
};

const appendAll = async (log: TurnLog, groups: number, bytes: number): Promise<void> => {
  for (let group = 0; group < groups; group += 1) {
    const results = await Promise.all(
      Array.from({ length: CONCURRENCY }, (_one, index) =>
        log.append(createTurn(group * CONCURRENCY + index, bytes)),
      ),
    );
    const failed = results.find((result) => result.isErr());
    if (failed?.isErr()) throw new Error(failed.error.kind);
  }
};

/** `bench turns`: throughput of the turn log on the disk of the system's temporary folder. */
export class TurnsCommand extends Command {
  static override paths = [['turns']];

  readonly count = Option.String('--count', '16000', { description: 'number of turns' });

  readonly bytes = Option.String('--bytes', '17000', { description: 'bytes per turn' });

  async execute(): Promise<number> {
    const directory = await mkdtemp(join(tmpdir(), 'turns-'));
    try {
      this.context.stdout.write(`${formatTable(await this.#measure(directory))}\n`);
      return 0;
    } finally {
      await rm(directory, { recursive: true });
    }
  }

  async #measure(directory: string): Promise<string[][]> {
    const bytes = Number(this.bytes);
    const groups = Math.ceil(Number(this.count) / CONCURRENCY);
    const turns = groups * CONCURRENCY;
    const bareMilliseconds = await measureMilliseconds(() =>
      writePlainFile(directory, groups, bytes),
    );
    const path = join(directory, 'turns');
    const log = await openLog(path);
    const logMilliseconds = await measureMilliseconds(() => appendAll(log, groups, bytes));
    await log.close();
    const before = process.memoryUsage().heapUsed;
    let opened = log;
    const openMilliseconds = await measureMilliseconds(async () => {
      opened = await openLog(path);
    });
    const heapBytes = process.memoryUsage().heapUsed - before;
    const perSecond = (milliseconds: number): string =>
      ((turns / milliseconds) * MILLISECONDS_PER_SECOND).toFixed(0);
    return [
      ['measure', 'value'],
      ['turns, bytes of one', `${opened.size}, ${bytes}`],
      ['appends a second', perSecond(logMilliseconds)],
      ['bare write and sync, a second', perSecond(bareMilliseconds)],
      ['ratio', (bareMilliseconds / logMilliseconds).toFixed(2)],
      ['start, ms', openMilliseconds.toFixed(0)],
      ['heap after the start, bytes a turn', (heapBytes / opened.size).toFixed(0)],
    ];
  }
}
