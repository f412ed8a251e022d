import type { ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { EscrowBudgets } from './escrowBudgets';

/**
 * Delay after the start of the process, so that waiting callers are served first: reading a thousand
 * programs right after the start takes half a second of a small core. Also longer than a promise of
 * an earlier process may take to reach the process that counts it.
 */
const START_DELAY_MILLISECONDS = 3_000;

/**
 * Delays before the store and the other instances are queried again: while all instances restart,
 * each asks all others.
 */
const FIRST_RETRY_MILLISECONDS = 500;
const MAXIMUM_RETRY_MILLISECONDS = 10_000;

/** Creates the task that restores what an earlier process knew about programs, until all is known. */
export const createMemoryTask = (
  budgets: Pick<EscrowBudgets, 'restoreMemory'>,
): ChildSpecification => ({
  name: 'begun-programs',
  restart: 'never',
  run: async ({ signal, ready }) => {
    ready();
    await delay(START_DELAY_MILLISECONDS, signal);
    let retryMilliseconds = FIRST_RETRY_MILLISECONDS;
    while (!signal.aborted && !(await budgets.restoreMemory())) {
      await delay(retryMilliseconds, signal);
      retryMilliseconds = Math.min(2 * retryMilliseconds, MAXIMUM_RETRY_MILLISECONDS);
    }
  },
});
