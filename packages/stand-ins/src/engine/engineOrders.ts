import { z } from 'zod';

const orderSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('free-session'), session_id: z.string() }),
  z.object({ kind: z.literal('load-model'), model: z.string(), version: z.string().optional() }),
  z.object({ kind: z.literal('set-role'), role: z.string() }),
]);

export const orderRequestSchema = z.object({
  fencing_number: z.number().int(),
  order: orderSchema,
});

export type EngineOrder = z.infer<typeof orderSchema>;
export type OrderRequest = z.infer<typeof orderRequestSchema>;

/** Tracks the highest fencing number of each scope. */
export class FencingNumbers {
  readonly #newest = new Map<string, number>();

  /** Records a fencing number of a scope; returns the highest so far. */
  record(scope: string, number: number): number {
    const newest = Math.max(number, this.#newest.get(scope) ?? number);
    this.#newest.set(scope, newest);
    return newest;
  }
}

/** Returns the subject of an order, such as the session that it frees. */
export const getOrderSubject = (order: EngineOrder): string => {
  switch (order.kind) {
    case 'free-session':
      return `session ${order.session_id}`;
    case 'load-model':
      return `model ${order.model}`;
    case 'set-role':
      return 'role';
    default:
      return order satisfies never;
  }
};
