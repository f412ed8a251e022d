import type { ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { EscrowBudgets } from './escrowBudgets';

/**
 * Delay after the start of the process, so that waiting callers are served first: reading a thousand
 * programs right after the start takes half a second of a small core.
 */
const START_DELAY_MILLISECONDS = 3_000;

/** Delay before the store is queried again. */
const RETRY_MILLISECONDS = 500;

/**
 * Creates the task that reads from the store which programs an earlier process may have served. The
 * task retries until the store responds.
 */
export const createStartedProgramsTask = (
  budgets: Pick<EscrowBudgets, 'loadStartedPrograms'>,
): ChildSpecification => ({
  name: 'begun-programs',
  restart: 'never',
  run: async ({ signal, ready }) => {
    ready();
    await delay(START_DELAY_MILLISECONDS, signal);
    while (!signal.aborted && !(await budgets.loadStartedPrograms())) {
      await delay(RETRY_MILLISECONDS, signal);
    }
  },
});
