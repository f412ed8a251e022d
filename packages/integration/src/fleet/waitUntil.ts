import { delay } from '@limpetnotch/supervision';

const POLL_MILLISECONDS = 50;

/** Waits until a condition holds; rejects with its description after the time. */
export const waitUntil = async (
  description: string,
  timeoutMilliseconds: number,
  holds: () => Promise<boolean>,
): Promise<void> => {
  const giveUpAt = performance.now() + timeoutMilliseconds;
  while (!(await holds().catch(() => false))) {
    if (performance.now() > giveUpAt) throw new Error(`timed out: ${description}`);
    await delay(POLL_MILLISECONDS);
  }
};
