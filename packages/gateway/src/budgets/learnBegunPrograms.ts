import type { ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { EscrowBudgets } from './escrowBudgets';

/**
 * A started process first serves the callers that waited for it: reading a thousand programs takes
 * half a second of a small core right after the start.
 */
const DELAY_MILLISECONDS = 3_000;

/** Pause before the store is asked again. */
const RETRY_MILLISECONDS = 500;

/** Task that reads the programs which an earlier process may have served, until the store answers. */
export const learnBegunPrograms = (
  budgets: Pick<EscrowBudgets, 'learnBegun'>,
): ChildSpecification => ({
  name: 'begun-programs',
  restart: 'never',
  run: async ({ signal, ready }) => {
    ready();
    await delay(DELAY_MILLISECONDS, signal);
    while (!signal.aborted && !(await budgets.learnBegun())) {
      await delay(RETRY_MILLISECONDS, signal);
    }
  },
});
