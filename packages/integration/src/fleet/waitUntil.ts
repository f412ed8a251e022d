import { delay } from '@limpetnotch/supervision';

const POLL_INTERVAL_MILLISECONDS = 50;

/** Polls until a condition holds, a rejection counting as false; rejects after the timeout. */
export const waitUntil = async (
  description: string,
  timeoutMilliseconds: number,
  condition: () => Promise<boolean>,
): Promise<void> => {
  const deadline = performance.now() + timeoutMilliseconds;
  while (!(await condition().catch(() => false))) {
    if (performance.now() > deadline) throw new Error(`timed out: ${description}`);
    await delay(POLL_INTERVAL_MILLISECONDS);
  }
};
