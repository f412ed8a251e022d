import { writeFile } from 'node:fs/promises';
import { resolve } from 'node:path';
import { Cli, Command, Option } from 'clipanion';
import type { CellResult } from './faults/cellResult';
import { startMatrixFleet } from './faults/startMatrixFleet';
import { formatFaultsPage } from './faults/formatFaultsPage';
import { planCells } from './faults/faultTable';
import type { CellPlan } from './faults/runCell';
import { runCell } from './faults/runCell';

const PAGE = resolve(__dirname, '../../../docs/FAULT-MATRIX.md');

const createFailedResult = (plan: CellPlan, failure: unknown): CellResult => ({
  kind: plan.kind,
  step: plan.step,
  faults: plan.faults,
  first: 'not run',
  final: 'not run',
  executions: undefined,
  milliseconds: 0,
  violations: [failure instanceof Error ? failure.message : String(failure)],
});

/** `faults`: runs the fault matrix, prints each cell and writes docs/FAULT-MATRIX.md. */
class FaultsCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({ description: 'Run the fault matrix' });

  only = Option.String('--only', '', {
    description: 'Run only the cells whose "kind step fault" contains this text',
  });

  fleets = Option.String('--fleets', '2', { description: 'Fleets that run cells concurrently' });

  write = Option.Boolean('--write', true, { description: 'Write docs/FAULT-MATRIX.md' });

  async execute(): Promise<number> {
    const plans = planCells().filter(({ kind, step, faults }) =>
      `${kind} ${step} ${faults.join('+')}`.includes(this.only),
    );
    const queue = [...plans];
    const results: CellResult[] = [];
    const workers = Array.from({ length: Math.min(Number(this.fleets), plans.length) }, () =>
      this.#runCells(queue, results),
    );
    await Promise.all(workers);
    if (this.write && this.only === '') await writeFile(PAGE, formatFaultsPage(results));
    const violating = results.filter((result) => result.violations.length > 0);
    this.context.stdout.write(`${results.length} cells, ${violating.length} broken\n`);
    return violating.length === 0 ? 0 : 1;
  }

  async #runCells(queue: CellPlan[], results: CellResult[]): Promise<void> {
    let fleet = await startMatrixFleet();
    for (let plan = queue.shift(); plan !== undefined; plan = queue.shift()) {
      const current = plan;
      const result = await runCell(fleet, current).catch((failure: unknown) =>
        createFailedResult(current, failure),
      );
      results.push(result);
      this.#printResult(result);
      if (result.violations.length > 0) {
        await fleet.stop();
        fleet = await startMatrixFleet();
      }
    }
    await fleet.stop();
  }

  #printResult(result: CellResult): void {
    const { kind, step, faults, first, final, executions, milliseconds, violations } = result;
    const verdict = violations.length === 0 ? 'held' : `BROKEN: ${violations.join('; ')}`;
    this.context.stdout.write(
      `${kind} ${step} ${faults.join('+')}: first ${first}, final ${final}, ran ${
        executions ?? '-'
      }, ${Math.round(milliseconds)} ms: ${verdict}\n`,
    );
  }
}

const cli = new Cli({ binaryLabel: 'limpetnotch fault matrix', binaryName: 'npm run faults --' });
cli.register(FaultsCommand);
void cli.runExit(process.argv.slice(2));
