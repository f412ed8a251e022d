import { z } from 'zod';

/** Order to an engine. */
const orderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('free-session'), session_id: z.string() }),
  z.object({ kind: z.literal('load-model'), model: z.string(), version: z.string().optional() }),
  z.object({ kind: z.literal('set-role'), role: z.string() }),
]);

/** Order with its fencing number; numbers of one scope are compared with each other only. */
export const orderRequestSchema = z.object({
  fencing_number: z.number().int(),
  fencing_scope: z.string().default(''),
  order: orderSchema,
});

export type EngineOrder = z.infer<typeof orderSchema>;
export type OrderRequest = z.infer<typeof orderRequestSchema>;

/** Remembers the newest fencing number of each scope. */
export class FencingNumbers {
  readonly #newest = new Map<string, number>();

  /** Notes a number; returns the newest of its scope. */
  note({ fencing_scope: scope, fencing_number: number }: OrderRequest): number {
    const newest = Math.max(number, this.#newest.get(scope) ?? number);
    this.#newest.set(scope, newest);
    return newest;
  }
}
