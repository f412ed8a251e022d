/** Groups items by the instances that are chosen for each of them. */
export const groupByInstance = <Item>(
  items: readonly Item[],
  choose: (item: Item) => readonly string[],
): ReadonlyMap<string, readonly Item[]> => {
  const groups = new Map<string, Item[]>();
  items.forEach((item) =>
    choose(item).forEach((name) => groups.set(name, [...(groups.get(name) ?? []), item])),
  );
  return groups;
};
