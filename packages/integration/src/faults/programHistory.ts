import { z } from 'zod';

const entrySchema = z.object({
  sequence: z.number().int(),
  idempotencyKey: z.string(),
  idempotent: z.boolean(),
  outcome: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('answered') }),
    z.object({ kind: z.literal('failed'), executed: z.enum(['no', 'yes', 'unknown']) }),
  ]),
});

const historySchema = z.object({ history: z.array(entrySchema) });

export type HistoryEntry = z.infer<typeof entrySchema>;

/** Parses the program document that an entry returns. */
export const parseHistory = (json: string): readonly HistoryEntry[] =>
  historySchema.parse(JSON.parse(json)).history;

/** Whether a call with this outcome may run again under the same idempotency key. */
const mayRunAgain = ({ outcome, idempotent }: HistoryEntry): boolean =>
  outcome.kind === 'failed' && (idempotent || outcome.executed === 'no');

/**
 * Checks the consistency of a history: sequences have no gap, and of the entries with the same
 * idempotency key all but the last are failures after which a call may run again.
 */
export const checkHistoryEntries = (history: readonly HistoryEntry[]): readonly string[] => {
  const violations: string[] = [];
  if (history.some(({ sequence }, index) => sequence !== index)) {
    violations.push('the sequences of the history have gaps');
  }
  history.forEach((entry, index) => {
    const later = history.slice(index + 1);
    const isRepeated = later.some(({ idempotencyKey }) => idempotencyKey === entry.idempotencyKey);
    if (isRepeated && !mayRunAgain(entry)) {
      violations.push(
        `${entry.idempotencyKey} is in the history again after ${entry.outcome.kind}`,
      );
    }
  });
  return violations;
};

/** Returns the idempotency keys of the answered calls, in the order of the history. */
export const getAnsweredKeys = (history: readonly HistoryEntry[]): readonly string[] =>
  history
    .filter(({ outcome }) => outcome.kind === 'answered')
    .map(({ idempotencyKey }) => idempotencyKey);
