import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

const MAXIMUM_CONCURRENT_ITEMS = 8;

/** Maps items with an asynchronous function, a few concurrently; stops at the first error. */
export const mapInParallel = async <Item, Value, Failure>(
  items: readonly Item[],
  mapItem: (item: Item) => Promise<Result<Value, Failure>>,
): Promise<Result<Value[], Failure>> => {
  const values = new Map<number, Value>();
  let failure: Failure | undefined;
  let nextIndex = 0;
  const runWorker = async (): Promise<void> => {
    while (nextIndex < items.length && failure === undefined) {
      const index = nextIndex;
      nextIndex += 1;
      const result = await mapItem(items[index] as Item);
      if (result.isErr()) {
        failure = result.error;
        return;
      }
      values.set(index, result.value);
    }
  };
  await Promise.all(Array.from({ length: MAXIMUM_CONCURRENT_ITEMS }, runWorker));
  if (failure !== undefined) return err(failure);
  return ok(items.map((_item, index) => values.get(index) as Value));
};
