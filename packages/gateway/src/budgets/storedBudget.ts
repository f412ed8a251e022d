import type { StoreEntry } from '@limpetnotch/store';
import { parseWith } from '@limpetnotch/store';
import { z } from 'zod';

const storedBudgetSchema = z.object({
  limitTokens: z.number().int(),
  grantedTokens: z.number().int(),
  /** Part of the granted tokens that some instance may have granted while the store was away. */
  presumedTokens: z.number().int().default(0),
  /** Identifies the write, so that a writer whose answer was lost knows its own. */
  writeId: z.string(),
});

/** What the store holds of a program's token budget. */
export type StoredBudget = z.infer<typeof storedBudgetSchema>;

/** Reads a budget from its entry; undefined where the value can't be read. */
export const parseStoredBudget = ({ value }: StoreEntry): StoredBudget | undefined =>
  parseWith(storedBudgetSchema, value);
