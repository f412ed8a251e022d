import fc from 'fast-check';
import { areMajority, meetEveryMajority } from '../../src/budgets/majorities';

const MEMBERS = ['a', 'b', 'c', 'd', 'e', 'f'];
const someMembers = fc.subarray(MEMBERS, { minLength: 1 });

test('two majorities of a list share a member', () => {
  fc.assert(
    fc.property(someMembers, someMembers, someMembers, (list, first, second) => {
      fc.pre(areMajority([list], new Set(first)) && areMajority([list], new Set(second)));
      expect(first.filter((name) => list.includes(name) && second.includes(name))).not.toEqual([]);
    }),
  );
});

test('the members that complete a memory share one other member with each majority', () => {
  fc.assert(
    fc.property(someMembers, someMembers, someMembers, (list, told, majority) => {
      const others = told.filter((name) => name !== 'a');
      fc.pre(meetEveryMajority([list], new Set(others)) && areMajority([list], new Set(majority)));
      expect(majority.filter((name) => list.includes(name) && others.includes(name))).not.toEqual(
        [],
      );
    }),
  );
});

test('no set is a majority while no list has settled', () => {
  expect(areMajority([], new Set(MEMBERS))).toBe(false);
  expect(meetEveryMajority([], new Set(MEMBERS))).toBe(false);
});
