import { z } from 'zod';
import { objectNameSchema } from './objectName';

/**
 * Specification of a budget; a limit that is not set is inherited from the parent, if there is one.
 */
export const budgetSpecSchema = z.strictObject({
  /**
   * Budget from which unset limits are inherited; a set limit may not exceed that of the parent.
   */
  parent: objectNameSchema.optional(),
  /** Total tokens of prompts and responses. */
  tokens: z.number().int().positive().optional(),
  calls: z.number().int().positive().optional(),
  /** Spend, in micro-units of one currency. */
  spendMicros: z.number().int().positive().optional(),
  wallTimeSeconds: z.number().positive().optional(),
});

export type BudgetSpec = z.infer<typeof budgetSpecSchema>;
