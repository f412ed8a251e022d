import { TargetSpeeds } from '../../src/carried/targetSpeeds';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('detects a target that becomes slow after a few requests', () => {
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

test('does not compare different kinds of work', () => {
  const speeds = new TargetSpeeds();
  for (let round = 0; round < 10; round += 1) {
    speeds.observe('first', 'short', 15);
    speeds.observe('second', 'long', 60);
  }
  expect(speeds.slowness('first')).toBeCloseTo(speeds.slowness('second'), 5);
});

test('a target that fails many requests counts as slow, and one that fails few does not', () => {
  const speeds = new TargetSpeeds();
  for (let request = 1; request <= 60; request += 1) {
    if (request % 5 < 2) speeds.observeFailure('grey');
    else speeds.observe('grey', 'turn', 200);
    if (request % 20 === 0) speeds.observeFailure('usual');
    else speeds.observe('usual', 'turn', 200);
  }
  expect(speeds.slowness('grey')).toBeGreaterThan(2);
  expect(speeds.slowness('usual')).toBeLessThan(1.3);
});
