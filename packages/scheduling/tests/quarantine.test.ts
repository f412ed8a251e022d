import fc from 'fast-check';
import { Quarantine } from '../src/quarantine';
import type { QuarantineEntry } from '../src/quarantineEntry';
import { mergeQuarantineEntries } from '../src/quarantineEntry';

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

const request = { requestDigest: 'deadly', organisation: 'north', route: 'chat' };

const quarantine = (): Quarantine => new Quarantine({ crashes: 2, expiryMilliseconds: 60_000 });

test('two crashes of one target are not enough', () => {
  const requests = quarantine();
  expect(requests.recordCrash(request, 'one')).toBe(false);
  expect(requests.recordCrash(request, 'one')).toBe(false);
  expect(requests.recordCrash(request, 'two')).toBe(true);
});

test('crashes at two instances count together', () => {
  const [here, there] = [quarantine(), quarantine()];
  here.onChange((entry) => {
    there.merge([entry]);
  });
  here.recordCrash(request, 'one');
  expect(there.recordCrash(request, 'two')).toBe(true);
});

test('expires', () => {
  const requests = quarantine();
  requests.recordCrash(request, 'one');
  requests.recordCrash(request, 'two');
  jest.advanceTimersByTime(60_000);
  expect(requests.isQuarantined('deadly')).toBe(false);
  expect(requests.list()).toEqual([]);
});

test('a lift covers earlier crashes, but not later ones', () => {
  const requests = quarantine();
  requests.recordCrash(request, 'one');
  requests.recordCrash(request, 'two');
  const before = requests.list();
  expect(requests.lift('deadly')).toBe(true);
  requests.merge(before);
  expect(requests.isQuarantined('deadly')).toBe(false);
  requests.recordCrash(request, 'one');
  expect(requests.recordCrash(request, 'two')).toBe(true);
});

test('entries merge in any order', () => {
  const entry = fc.record<QuarantineEntry>({
    requestDigest: fc.constant('deadly'),
    organisation: fc.constant('north'),
    route: fc.constant('chat'),
    crashes: fc.uniqueArray(
      fc.record({ target: fc.constantFrom('a', 'b', 'c'), atMilliseconds: fc.nat({ max: 9 }) }),
      { selector: ({ target }) => target },
    ),
    liftedAtMilliseconds: fc.nat({ max: 9 }),
    expiresAtMilliseconds: fc.nat({ max: 9 }),
  });
  fc.assert(
    fc.property(entry, entry, entry, (one, two, three) => {
      const left = mergeQuarantineEntries(mergeQuarantineEntries(one, two), three);
      const right = mergeQuarantineEntries(three, mergeQuarantineEntries(two, one));
      expect(mergeQuarantineEntries(right, left)).toEqual(left);
    }),
    { seed: 6, numRuns: 100 },
  );
});

const INCIDENTAL = { ageMilliseconds: 0, isIncidental: true };

test('five crashes that something else may explain count as three others', () => {
  const requests = new Quarantine({ crashes: 3, expiryMilliseconds: 60_000 });
  const stages = ['a', 'b', 'c', 'd', 'e'].map((target) => {
    requests.recordCrash(request, target, INCIDENTAL);
    return requests.stageOf('deadly');
  });
  expect(stages).toEqual(['noted', 'on-trial', 'on-trial', 'last-trial', 'quarantined']);
});

test('crashes that nothing else explains count in full', () => {
  const requests = new Quarantine({ crashes: 3, expiryMilliseconds: 60_000 });
  const stages = ['a', 'b', 'c'].map((target) => {
    requests.recordCrash(request, target);
    return requests.stageOf('deadly');
  });
  expect(stages).toEqual(['on-trial', 'last-trial', 'quarantined']);
});

test('crashes before a lift are dropped', () => {
  const requests = quarantine();
  requests.recordCrash(request, 'one');
  requests.lift('deadly');
  requests.recordCrash(request, 'two');
  expect(requests.find('deadly')?.crashes.map(({ target }) => target)).toEqual(['two']);
});
