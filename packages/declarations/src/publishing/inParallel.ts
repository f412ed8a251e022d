import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

const TASKS = 8;

/** Does an asynchronous step for each item, a few at once; stops at the first error. */
export const inParallel = async <Item, Value, Failure>(
  items: readonly Item[],
  step: (item: Item) => Promise<Result<Value, Failure>>,
): Promise<Result<Value[], Failure>> => {
  const values = new Map<number, Value>();
  let failure: Failure | undefined;
  let nextIndex = 0;
  const work = async (): Promise<void> => {
    while (nextIndex < items.length && failure === undefined) {
      const index = nextIndex;
      nextIndex += 1;
      const result = await step(items[index] as Item);
      if (result.isErr()) {
        failure = result.error;
        return;
      }
      values.set(index, result.value);
    }
  };
  await Promise.all(Array.from({ length: TASKS }, work));
  if (failure !== undefined) return err(failure);
  return ok(items.map((_item, index) => values.get(index) as Value));
};
