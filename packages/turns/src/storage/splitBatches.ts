/** Splits items into batches up to a number of bytes and of items, but of at least one item. */
export const splitBatches = <Item>(
  items: readonly Item[],
  sizeOf: (item: Item) => number,
  limits: { readonly bytes: number; readonly items: number },
): readonly (readonly Item[])[] => {
  const batches: Item[][] = [];
  let bytes = Infinity;
  items.forEach((item) => {
    const size = sizeOf(item);
    const batch = batches.at(-1);
    if (batch && bytes + size <= limits.bytes && batch.length < limits.items) {
      batch.push(item);
      bytes += size;
    } else {
      batches.push([item]);
      bytes = size;
    }
  });
  return batches;
};
