import fc from 'fast-check';
import { chooseHolders, isRetired, judgeAbsence, rankHolders } from '../../src';

const createInstance = (name: string, availabilityZone: string, state: 'serving' | 'leaving') => ({
  name,
  availabilityZone,
  state,
});

const ZONES = ['a', 'b', 'c'];

const INSTANCES = Array.from({ length: 6 }, (_one, index) =>
  createInstance(`s-${index}`, ZONES[index % ZONES.length]!, 'serving'),
);

const LOSSES = { instances: 1, availabilityZones: 1 };

const keyOf = (program: number) => ({ organisation: 'north', program: `p-${program}` });

test('holders are in different availability zones', () => {
  for (let program = 0; program < 200; program += 1) {
    const holders = chooseHolders(keyOf(program), INSTANCES, LOSSES);
    expect(new Set(holders.map(({ availabilityZone }) => availabilityZone)).size).toBe(2);
  }
});

test('a tolerated loss of availability zones alone determines the copies', () => {
  const losses = { instances: 0, availabilityZones: 2 };
  expect(chooseHolders(keyOf(1), INSTANCES, losses)).toHaveLength(3);
});

test('the order in which instances are listed does not matter', () => {
  const shuffled = [...INSTANCES].reverse();
  expect(rankHolders(keyOf(1), shuffled)).toEqual(rankHolders(keyOf(1), INSTANCES));
});

test('programs are spread over all instances', () => {
  const counts = new Map<string, number>();
  for (let program = 0; program < 600; program += 1) {
    chooseHolders(keyOf(program), INSTANCES, LOSSES).forEach(({ name }) => {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    });
  }
  INSTANCES.forEach(({ name }) => expect(counts.get(name)).toBeGreaterThan(130));
});

test('the removal of an instance keeps the rank of the others within their availability zones', () => {
  const property = fc.property(fc.nat(), fc.nat({ max: 5 }), (program, removed) => {
    const others = INSTANCES.filter((_one, index) => index !== removed);
    const inZone = (instances: typeof INSTANCES) =>
      rankHolders(keyOf(program), instances)
        .filter(({ availabilityZone }) => availabilityZone === 'a')
        .map(({ name }) => name)
        .filter((name) => name !== `s-${removed}`);
    expect(inZone(others)).toEqual(inZone(INSTANCES));
  });
  fc.assert(property, { seed: 1 });
});

test('an instance that is leaving holds nothing new', () => {
  const instances = [createInstance('s-0', 'a', 'leaving'), ...INSTANCES.slice(1)];
  expect(rankHolders(keyOf(1), instances).map(({ name }) => name)).not.toContain('s-0');
});

test.each([
  ['all answered', ['1', '2', '3'], [], 'absent'],
  ['a tolerated number was silent', ['1', '2'], [], 'absent'],
  ['a tolerated number was not whole', ['1', '2'], ['3'], 'absent'],
  ['more were silent', ['1'], [], 'unsure'],
  ['one was silent and one not whole', ['1'], ['2'], 'unsure'],
  ['an unknown instance answered', ['1', '9'], [], 'unsure'],
  ['one instance answered twice', ['1', '1'], [], 'unsure'],
])('absence: %s', (_title, whole, partial, verdict) => {
  const answers = [
    ...whole.map((instance) => ({ instance, isWhole: true })),
    ...partial.map((instance) => ({ instance, isWhole: false })),
  ];
  expect(judgeAbsence({ known: ['1', '2', '3'], answers, toleratedLosses: LOSSES })).toBe(verdict);
});

test('a list with fewer instances than copies proves no absence', () => {
  const answers = [{ instance: '1', isWhole: true }];
  expect(judgeAbsence({ known: ['1'], answers, toleratedLosses: LOSSES })).toBe('unsure');
  expect(judgeAbsence({ known: [], answers: [], toleratedLosses: LOSSES })).toBe('unsure');
});

test('an instance is retired once every other holder has each of its turns', () => {
  const held = [keyOf(1), keyOf(2)];
  const others = INSTANCES.slice(1);
  const acknowledged = new Set<string>();
  const isDone = (): boolean =>
    isRetired({
      instance: 's-0',
      held,
      instances: INSTANCES,
      toleratedLosses: LOSSES,
      hasLost: false,
      isHeldBy: (instance, { program }) => acknowledged.has(`${instance} ${program}`),
    });
  const needed = held.flatMap((key) =>
    chooseHolders(key, others, LOSSES).map(({ name }) => `${name} ${key.program}`),
  );
  needed.forEach((one) => {
    expect(isDone()).toBe(false);
    acknowledged.add(one);
  });
  expect(isDone()).toBe(true);
});

test('an instance with turns is not retired while there are too few others', () => {
  const evidence = {
    instance: 's-0',
    toleratedLosses: LOSSES,
    hasLost: false,
    isHeldBy: () => true,
  };
  const instances = INSTANCES.slice(0, 2);
  expect(isRetired({ ...evidence, instances, held: [keyOf(1)] })).toBe(false);
  expect(isRetired({ ...evidence, instances, held: [] })).toBe(true);
});

// The turns that it lost have one copy less until it has fetched them and handed them over.
test('an instance that lost turns is not retired', () => {
  const evidence = { instance: 's-0', toleratedLosses: LOSSES, isHeldBy: () => true };
  expect(isRetired({ ...evidence, instances: INSTANCES, held: [], hasLost: true })).toBe(false);
});
