import { chooseReaders } from '../../src/decisions/chooseReaders';
import type { ObservingInstance } from '../../src/decisions/observingInstance';
import { orderReaders } from '../../src/decisions/orderReaders';
import { rankNames } from '../support/rankNames';

const createInstances = (size: number, canRelay = true): readonly ObservingInstance[] =>
  Array.from({ length: size }, (_value, index) => ({
    name: `instance-${index}`,
    availabilityZone: `zone-${index % 3}`,
    canRelay,
  }));

test('two instances of each availability zone read, whatever the order of the list', () => {
  const instances = createInstances(30);
  const readers = chooseReaders(instances, rankNames);
  expect([...readers.values()].map((names) => names.length)).toEqual([2, 2, 2]);
  const reversed = chooseReaders([...instances].reverse(), rankNames);
  expect(reversed).toEqual(readers);
});

// Followers of a reader that doesn't relay would know nothing.
test('instances of earlier versions are never chosen', () => {
  expect(chooseReaders(createInstances(30, false), rankNames).size).toBe(0);
});

test('a reader that leaves is replaced in its availability zone alone', () => {
  const instances = createInstances(30);
  const before = chooseReaders(instances, rankNames);
  const [left] = before.get('zone-1') ?? [];
  const after = chooseReaders(
    instances.filter(({ name }) => name !== left),
    rankNames,
  );
  expect(after.get('zone-0')).toEqual(before.get('zone-0'));
  expect(after.get('zone-2')).toEqual(before.get('zone-2'));
  expect(after.get('zone-1')?.[0]).toBe(before.get('zone-1')?.[1]);
});

test('instances without an availability zone form one', () => {
  const instances = createInstances(9).map(({ name }) => ({
    name,
    availabilityZone: undefined,
    canRelay: true,
  }));
  expect([...chooseReaders(instances, rankNames).values()].flat()).toHaveLength(2);
});

test('an instance tries the readers of its availability zone first, and never itself', () => {
  const readers = chooseReaders(createInstances(30), rankNames);
  const near = readers.get('zone-1') ?? [];
  const search = { instance: 'instance-4', availabilityZone: 'zone-1', failedRounds: 0 };
  const order = orderReaders(readers, search, rankNames);
  expect(new Set(order.slice(0, 2))).toEqual(new Set(near));
  expect(order).toHaveLength(4);
  expect(orderReaders(readers, { ...search, instance: near[0]! }, rankNames)).not.toContain(
    near[0],
  );
});

// With a fixed choice, an instance would never find the one zone that still reads.
test('rounds in vain lead through all readers', () => {
  const readers = chooseReaders(createInstances(30), rankNames);
  const tried = [0, 1, 2, 3].flatMap((failedRounds) =>
    orderReaders(
      readers,
      { instance: 'instance-4', availabilityZone: 'zone-1', failedRounds },
      rankNames,
    ),
  );
  expect(new Set(tried).size).toBe(6);
});

// All followers of one reader would cost it processor time, and lose it at the same time.
test('the followers spread over the readers', () => {
  const readers = new Map([['zone-0', ['one', 'two']]]);
  const first = Array.from(
    { length: 40 },
    (_value, index) =>
      orderReaders(
        readers,
        { instance: `instance-${index}`, availabilityZone: 'zone-0', failedRounds: 0 },
        rankNames,
      )[0],
  );
  expect(first.filter((name) => name === 'one').length).toBeGreaterThan(10);
  expect(first.filter((name) => name === 'two').length).toBeGreaterThan(10);
});
