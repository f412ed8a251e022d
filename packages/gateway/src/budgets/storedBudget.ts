import type { StoreEntry } from '@limpetnotch/store';
import { parseJson } from '@limpetnotch/store';
import { z } from 'zod';

const storedBudgetSchema = z.object({
  limitTokens: z.number().int(),
  grantedTokens: z.number().int(),
  /**
   * Part of the granted tokens that some instance may have granted while the store was unreachable.
   */
  presumedTokens: z.number().int().default(0),
  /** Instances that took tokens from the store; absent once an earlier version has written. */
  holders: z.array(z.string()).optional(),
  /**
   * Identifies the write, so that a writer that lost the store's response recognises its own write.
   */
  writeId: z.string(),
});

/** Token budget of a program as stored. */
export type StoredBudget = z.infer<typeof storedBudgetSchema>;

/** Parses a stored budget; returns undefined if the value is malformed. */
export const parseStoredBudget = ({ value }: StoreEntry): StoredBudget | undefined =>
  parseJson(storedBudgetSchema, value);
