import type { FleetTarget } from '../../src/targets/fleetTarget';
import { TargetDirectory } from '../../src/targets/targetDirectory';

const target = (id: string, state: FleetTarget['state'] = 'serving'): FleetTarget => ({
  id,
  service: 'engine',
  address: '127.0.0.1:9000',
  availabilityZone: 'a',
  slots: 16,
  state,
});

const servingIds = (directory: TargetDirectory): string[] =>
  directory.serving('engine').map(({ id }) => id);

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

test('a leaving target gets nothing new', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.put(target('2'));
  directory.put(target('1', 'leaving'));
  expect(servingIds(directory)).toEqual(['2']);
});

test('announcements that lapsed in an outage come back or go', () => {
  const directory = new TargetDirectory();
  directory.replaceAll([target('1'), target('2')]);
  directory.startGracePeriod(2_200);
  directory.replaceAll([]);
  expect(servingIds(directory)).toEqual(['1', '2']);
  directory.put(target('1'));
  jest.advanceTimersByTime(2_300);
  expect(directory.get('2')).toBeUndefined();
  expect(servingIds(directory)).toEqual(['1']);
});

test('a removal outside an outage holds at once', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.remove('1');
  expect(servingIds(directory)).toEqual([]);
});

test('a target that declined as another one waits for its next announcement', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.markRefused(target('1'));
  expect(servingIds(directory)).toEqual([]);
  directory.put(target('1'));
  expect(servingIds(directory)).toEqual(['1']);
});

test('what an address did that a target has left does not speak against the target', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.put({ ...target('1'), address: '127.0.0.1:9001' });
  directory.markRefused(target('1'));
  expect(servingIds(directory)).toEqual(['1']);
});

test.each([
  ['leaving', (directory: TargetDirectory) => directory.put(target('1', 'leaving'))],
  ['lapsed', (directory: TargetDirectory) => directory.remove('1')],
])('a %s target may get requests again that it has had for a second', (_name, depart) => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  depart(directory);
  jest.advanceTimersByTime(900);
  directory.remove('1');
  expect(directory.mayRepeat('1')).toBe(true);
  jest.advanceTimersByTime(200);
  expect(directory.mayRepeat('1')).toBe(false);
});

test('a target that serves again may get requests again', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.remove('1');
  jest.advanceTimersByTime(2_000);
  directory.put(target('1'));
  expect(directory.mayRepeat('1')).toBe(true);
});

test('a target that announced its leave is known as leaving when it is gone', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.put(target('1', 'leaving'));
  expect(directory.asAnnounced(target('1')).state).toBe('leaving');
  directory.remove('1');
  expect(directory.asAnnounced(target('1')).state).toBe('leaving');
});

test('a target whose announcement lapsed is not known as leaving', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.remove('1');
  expect(directory.asAnnounced(target('1')).state).toBe('serving');
});

test('a target that was never announced gets nothing', () => {
  expect(new TargetDirectory().mayRepeat('1')).toBe(false);
});

test('a target that says that it leaves does so for its whole life', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  expect(directory.markLeaving(target('1'))).toBe(true);
  expect(directory.markLeaving(target('1'))).toBe(false);
  directory.put(target('1'));
  expect(servingIds(directory)).toEqual([]);
  expect(directory.asAnnounced(target('1')).state).toBe('leaving');
});

test('a target that said that it leaves may get requests again that it has had', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.markLeaving(target('1'));
  expect(directory.mayRepeat('1')).toBe(true);
  jest.advanceTimersByTime(1_100);
  expect(directory.mayRepeat('1')).toBe(false);
});

test.each([
  ['after another start', { bornMilliseconds: 2 }],
  ['at another address', { address: '127.0.0.1:9001' }],
])('a target %s under its id does not leave', (_name, change) => {
  const directory = new TargetDirectory();
  const first = { ...target('1'), bornMilliseconds: 1 };
  directory.put(first);
  directory.markLeaving(first);
  directory.put({ ...first, ...change });
  expect(servingIds(directory)).toEqual(['1']);
});

test('an answer of an earlier start does not say that the present one leaves', () => {
  const directory = new TargetDirectory();
  directory.put({ ...target('1'), bornMilliseconds: 2 });
  expect(directory.markLeaving({ ...target('1'), bornMilliseconds: 1 })).toBe(false);
  expect(servingIds(directory)).toEqual(['1']);
});

test('a leaving target that lapses and announces the same start leaves still', () => {
  const directory = new TargetDirectory();
  const leaving = { ...target('1'), bornMilliseconds: 1 };
  directory.put(leaving);
  directory.markLeaving(leaving);
  directory.remove('1');
  directory.put(leaving);
  expect(servingIds(directory)).toEqual([]);
});

test('a target without a time of start that was removed and comes back does not leave', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.markLeaving(target('1'));
  directory.remove('1');
  directory.put(target('1'));
  expect(servingIds(directory)).toEqual(['1']);
});

test('an answer of a target that is removed tells that its start leaves', () => {
  const directory = new TargetDirectory();
  const leaving = { ...target('1'), bornMilliseconds: 1 };
  directory.put(leaving);
  directory.remove('1');
  directory.markLeaving(leaving);
  directory.put(leaving);
  expect(servingIds(directory)).toEqual([]);
});

test('an outdated announcement does not undo what a leaving target said', () => {
  const directory = new TargetDirectory();
  directory.put(target('1', 'leaving'));
  expect(directory.markLeaving(target('1'))).toBe(false);
  directory.put(target('1'));
  expect(servingIds(directory)).toEqual([]);
});

test('a target whose address has gone to a later one gets nothing', () => {
  const directory = new TargetDirectory();
  directory.put({ ...target('old'), bornMilliseconds: 1 });
  directory.put({ ...target('new'), bornMilliseconds: 2 });
  expect(servingIds(directory)).toEqual(['new']);
  directory.remove('new');
  expect(servingIds(directory)).toEqual(['old']);
});
