import { TargetSpeeds } from '../../src/carried/targetSpeeds';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('a target that turns slow is known after a few requests', () => {
  const speeds = new TargetSpeeds();
  for (let round = 0; round < 50; round += 1) {
    speeds.observe('usual', 'turn', 200);
    speeds.observe('slow', 'turn', 200);
  }
  for (let round = 0; round < 5; round += 1) speeds.observe('slow', 'turn', 800);
  expect(speeds.slowness('slow')).toBeGreaterThan(2.5);
  expect(speeds.slowness('usual')).toBeCloseTo(1, 1);
});

test('a slow target is tried again after a while', () => {
  const speeds = new TargetSpeeds();
  speeds.observe('usual', 'turn', 200);
  for (let round = 0; round < 10; round += 1) speeds.observe('slow', 'turn', 800);
  jest.advanceTimersByTime(8_000);
  expect(speeds.slowness('slow')).toBeLessThan(1.3);
});

test('kinds of work are not compared with each other', () => {
  const speeds = new TargetSpeeds();
  for (let round = 0; round < 10; round += 1) {
    speeds.observe('first', 'short', 15);
    speeds.observe('second', 'long', 60);
  }
  expect(speeds.slowness('first')).toBeCloseTo(speeds.slowness('second'), 5);
});
