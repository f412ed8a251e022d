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
  directory.getServing('engine').map(({ id }) => id);

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

test('a leaving target receives no new requests', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.put(target('2'));
  directory.put(target('1', 'leaving'));
  expect(servingIds(directory)).toEqual(['2']);
});

test('targets whose announcements lapsed in an outage are kept only if renewed in time', () => {
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

test('a removal outside an outage takes effect immediately', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.remove('1');
  expect(servingIds(directory)).toEqual([]);
});

test('a target marked as refused is not used until its next announcement', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.markRefused(target('1'));
  expect(servingIds(directory)).toEqual([]);
  directory.put(target('1'));
  expect(servingIds(directory)).toEqual(['1']);
});

test('a refusal at the previous address of a target does not affect the target', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.put({ ...target('1'), address: '127.0.0.1:9001' });
  directory.markRefused(target('1'));
  expect(servingIds(directory)).toEqual(['1']);
});

test.each([
  ['leaving', (directory: TargetDirectory) => directory.put(target('1', 'leaving'))],
  ['lapsed', (directory: TargetDirectory) => directory.remove('1')],
])('requests may be retried at a %s target for a second', (_name, depart) => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  depart(directory);
  jest.advanceTimersByTime(900);
  directory.remove('1');
  expect(directory.mayRetry('1')).toBe(true);
  jest.advanceTimersByTime(200);
  expect(directory.mayRetry('1')).toBe(false);
});

test('requests may be retried at a target that serves again', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.remove('1');
  jest.advanceTimersByTime(2_000);
  directory.put(target('1'));
  expect(directory.mayRetry('1')).toBe(true);
});

test('a target that announced that it leaves is still reported as leaving after its removal', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.put(target('1', 'leaving'));
  expect(directory.withAnnouncedState(target('1')).state).toBe('leaving');
  directory.remove('1');
  expect(directory.withAnnouncedState(target('1')).state).toBe('leaving');
});

test('a target whose announcement lapsed is not reported as leaving', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.remove('1');
  expect(directory.withAnnouncedState(target('1')).state).toBe('serving');
});

test('requests may not be retried at a target that was never announced', () => {
  expect(new TargetDirectory().mayRetry('1')).toBe(false);
});

test('a target that reports that it leaves stays leaving for its whole incarnation', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  expect(directory.markLeaving(target('1'))).toBe(true);
  expect(directory.markLeaving(target('1'))).toBe(false);
  directory.put(target('1'));
  expect(servingIds(directory)).toEqual([]);
  expect(directory.withAnnouncedState(target('1')).state).toBe('leaving');
});

test('requests may be retried for a second at a target that reported that it leaves', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.markLeaving(target('1'));
  expect(directory.mayRetry('1')).toBe(true);
  jest.advanceTimersByTime(1_100);
  expect(directory.mayRetry('1')).toBe(false);
});

test.each([
  ['after a restart', { bornMilliseconds: 2 }],
  ['at another address', { address: '127.0.0.1:9001' }],
])('a target %s with the same id is not leaving', (_name, change) => {
  const directory = new TargetDirectory();
  const first = { ...target('1'), bornMilliseconds: 1 };
  directory.put(first);
  directory.markLeaving(first);
  directory.put({ ...first, ...change });
  expect(servingIds(directory)).toEqual(['1']);
});

test('a response of an earlier incarnation does not mark the current one as leaving', () => {
  const directory = new TargetDirectory();
  directory.put({ ...target('1'), bornMilliseconds: 2 });
  expect(directory.markLeaving({ ...target('1'), bornMilliseconds: 1 })).toBe(false);
  expect(servingIds(directory)).toEqual(['1']);
});

test('a leaving target that lapses and announces the same incarnation is still leaving', () => {
  const directory = new TargetDirectory();
  const leaving = { ...target('1'), bornMilliseconds: 1 };
  directory.put(leaving);
  directory.markLeaving(leaving);
  directory.remove('1');
  directory.put(leaving);
  expect(servingIds(directory)).toEqual([]);
});

test('a target without a start time that was removed and returns is not leaving', () => {
  const directory = new TargetDirectory();
  directory.put(target('1'));
  directory.markLeaving(target('1'));
  directory.remove('1');
  directory.put(target('1'));
  expect(servingIds(directory)).toEqual(['1']);
});

test('a response of a removed target marks its incarnation as leaving', () => {
  const directory = new TargetDirectory();
  const leaving = { ...target('1'), bornMilliseconds: 1 };
  directory.put(leaving);
  directory.remove('1');
  directory.markLeaving(leaving);
  directory.put(leaving);
  expect(servingIds(directory)).toEqual([]);
});

test('an outdated announcement does not override what a leaving target announced', () => {
  const directory = new TargetDirectory();
  directory.put(target('1', 'leaving'));
  expect(directory.markLeaving(target('1'))).toBe(false);
  directory.put(target('1'));
  expect(servingIds(directory)).toEqual([]);
});

test('a target whose address was taken over by a later one receives no requests', () => {
  const directory = new TargetDirectory();
  directory.put({ ...target('old'), bornMilliseconds: 1 });
  directory.put({ ...target('new'), bornMilliseconds: 2 });
  expect(servingIds(directory)).toEqual(['new']);
  directory.remove('new');
  expect(servingIds(directory)).toEqual(['old']);
});
