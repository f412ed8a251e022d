import { PrefixView } from '../../src/decisions/prefixView';

const put = (key: string, revision: number, value = `${key}-${revision}`) => ({
  key,
  value,
  revision,
});

const remove = (key: string, revision: number) => ({ key, value: undefined, revision });

const createView = (): PrefixView => {
  const view = new PrefixView();
  view.replace([put('a', 5), put('b', 7)], 10);
  return view;
};

const keysOf = (view: PrefixView): readonly string[] =>
  view.entries.map(({ key, revision }) => `${key}@${revision}`);

test('a change that was confirmed, or is known, is no news', () => {
  const view = createView();
  expect(view.apply(put('a', 9))).toBe(false);
  expect(view.apply(put('a', 12))).toBe(true);
  expect(view.apply(put('a', 12))).toBe(false);
  expect(view.apply(put('a', 11))).toBe(false);
  expect(keysOf(view)).toEqual(['a@12', 'b@7']);
});

// A slower source that still reports the key before its removal must not bring it back.
test('a removed key stays removed when another source reports it late', () => {
  const view = createView();
  expect(view.apply(remove('b', 14))).toBe(true);
  expect(view.apply(put('b', 13))).toBe(false);
  view.confirm(14);
  expect(view.apply(put('b', 13))).toBe(false);
  expect(view.apply(put('b', 15))).toBe(true);
});

test('a list that is older than what is known is ignored', () => {
  const view = createView();
  expect(view.replace([put('a', 3)], 9)).toBe(false);
  expect(keysOf(view)).toEqual(['a@5', 'b@7']);
});

test('a list does not undo changes that are newer than it', () => {
  const view = createView();
  view.apply(put('c', 13));
  view.apply(remove('a', 14));
  expect(view.replace([put('a', 5), put('b', 11)], 12)).toBe(true);
  expect(keysOf(view).toSorted()).toEqual(['b@11', 'c@13']);
});

test('a follower gets the changes since its revision, or all entries', () => {
  const view = createView();
  view.apply(put('c', 12));
  view.apply(remove('a', 13));
  const since = (revision: number) => view.changesSince({ kind: 'revision', revision });
  expect(since(12)).toEqual({ isComplete: false, changes: [remove('a', 13)] });
  expect(since(10).changes).toHaveLength(2);
  expect(since(20)).toEqual({ isComplete: false, changes: [] });
  expect(since(9)).toEqual({ isComplete: true, changes: [put('b', 7), put('c', 12)] });
  expect(since(0).isComplete).toBe(true);
});

test('a follower gets each change once', () => {
  const view = createView();
  const { cursor } = view;
  expect(view.changesSince(cursor).changes).toEqual([]);
  view.apply(put('c', 12));
  expect(view.changesSince(cursor).changes).toEqual([put('c', 12)]);
  expect(view.changesSince(view.cursor).changes).toEqual([]);
  view.replace([put('d', 20)], 21);
  expect(view.changesSince(cursor)).toEqual({ isComplete: true, changes: [put('d', 20)] });
});

// A follower that is too far behind must not take the rest of the changes for all of them.
test.each([
  ['many', 1_100, 10],
  ['large', 12, 400_000],
] as const)('a follower that missed %s changes gets all entries', (_name, count, size) => {
  const view = createView();
  const { cursor } = view;
  for (let revision = 11; revision < 11 + count; revision += 1) {
    view.apply(put('a', revision, 'x'.repeat(size)));
  }
  expect(view.changesSince(cursor).isComplete).toBe(true);
  expect(view.changesSince({ kind: 'revision', revision: 10 }).isComplete).toBe(true);
  expect(view.changesSince({ kind: 'revision', revision: 9 + count }).changes).toHaveLength(1);
});

// The store's client reports an item that can't be read with an empty value and without a revision.
test('an unreadable change without a revision counts', () => {
  const view = createView();
  expect(view.apply(put('a', 0, ''))).toBe(true);
  expect(view.entries).toContainEqual(put('a', 0, ''));
  expect(view.apply(put('a', 12))).toBe(true);
});

test('after a reset, a list of a store with a lower revision counts', () => {
  const view = createView();
  view.reset();
  expect(view.revision).toBe(0);
  expect(view.replace([put('a', 2)], 3)).toBe(true);
  expect(view.apply(put('a', 4))).toBe(true);
});
