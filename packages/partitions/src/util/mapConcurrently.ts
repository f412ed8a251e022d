/** Maps items by an asynchronous function in batches of the given size; keeps their order. */
export const mapConcurrently = async <Item, Value>(
  items: readonly Item[],
  concurrency: number,
  map: (item: Item) => Promise<Value>,
): Promise<readonly Value[]> => {
  const values: Value[] = [];
  for (let start = 0; start < items.length; start += concurrency) {
    values.push(...(await Promise.all(items.slice(start, start + concurrency).map(map))));
  }
  return values;
};
