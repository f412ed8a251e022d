import { z } from 'zod';
import { objectNameSchema } from './objectName';

/** Specification of a budget; a limit that is not set comes from the parent, or is absent. */
export const budgetSpecSchema = z.strictObject({
  /** Budget whose limits hold where this one sets none; a set limit may not exceed the parent's. */
  parent: objectNameSchema.optional(),
  /** Tokens of prompts and answers together. */
  tokens: z.number().int().positive().optional(),
  calls: z.number().int().positive().optional(),
  /** Spend, in micro-units of one currency. */
  spendMicros: z.number().int().positive().optional(),
  wallTimeSeconds: z.number().positive().optional(),
});

export type BudgetSpec = z.infer<typeof budgetSpecSchema>;
