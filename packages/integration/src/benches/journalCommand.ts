import { Command, Option } from 'clipanion';
import { z } from 'zod';
import { measureJournal } from './journalBench';
import type { JournalFigures, RecoveryFigures } from './journalFigures';

const countSchema = z.coerce.number().int().positive();

const formatRecovery = (name: string, { p50, p95, maximum, partitions }: RecoveryFigures): string =>
  [
    name.padEnd(16),
    `p50 ${p50.toFixed(0)} ms`,
    `p95 ${p95.toFixed(0)} ms`,
    `max ${maximum.toFixed(0)} ms`,
    `of ${partitions} partitions`,
  ].join('  ');

const formatFigures = ({ loads, afterDeath, afterHandover, goals }: JournalFigures): string => {
  const rows = loads.map((load) =>
    [
      `${load.instances} instances`,
      `${load.programs} programs`.padEnd(13),
      `${load.callsPerSecond.toFixed(0)} calls/s`.padEnd(11),
      `${load.commitsPerCall.toFixed(2)} commits/call`,
      `${load.storeWritesPerSecond.toFixed(0)} writes/s`,
      `${load.storeReadsPerSecond.toFixed(0)} reads/s`,
      `commits p50 ${load.commitMillisecondsP50.toFixed(0)} ms`,
      `p95 ${load.commitMillisecondsP95.toFixed(0)} ms`,
      `${load.snapshotCharactersPerProgram.toFixed(0)} characters/program`,
    ].join('  '),
  );
  const goalRows = goals.map(
    ({ name, value, bound, met }) =>
      `${met ? 'met   ' : 'MISSED'}  ${name}: ${value.toFixed(0)} of ${bound}`,
  );
  return [
    ...rows,
    formatRecovery('after a death', afterDeath),
    formatRecovery('after a handover', afterHandover),
    ...goalRows,
  ].join('\n');
};

/** `bench journal`: cost of the journal, and recovery after an owner loss and after a handover. */
export class JournalCommand extends Command {
  static override paths = [['journal']];

  static override usage = Command.Usage({
    description: 'Measures the journal of partitions and the recovery of partitions.',
    examples: [['With short loads', 'npm run bench -- journal --seconds 5 --rounds 2']],
  });

  readonly seconds = Option.String('--seconds', '10', { description: 'length of each load' });

  readonly rounds = Option.String('--rounds', '5', {
    description: 'number of owner losses and of handovers',
  });

  async execute(): Promise<number> {
    const seconds = countSchema.parse(this.seconds);
    const rounds = countSchema.parse(this.rounds);
    const figures = await measureJournal({ seconds, rounds });
    this.context.stdout.write(
      `${formatFigures(figures)}\n${JSON.stringify(figures, undefined, 2)}\n`,
    );
    return figures.goals.every(({ met }) => met) ? 0 : 1;
  }
}
