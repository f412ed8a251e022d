import { ServiceVersions } from '../../src/resumption/serviceVersions';
import { fleetTarget } from '../support/fleetTarget';

const WINDOW_MILLISECONDS = 60_000;

let versions = new ServiceVersions();

const target = (id: string, version: string | undefined, service = 's') =>
  fleetTarget({ id, version, service });

const possible = () => versions.within('s', WINDOW_MILLISECONDS);

beforeEach(() => {
  jest.useFakeTimers();
  versions = new ServiceVersions();
  versions.restart();
});

afterEach(() => {
  jest.useRealTimers();
});

test('nothing is known before the service was observed for long enough', () => {
  versions.observe([target('1', 'v1')]);
  jest.advanceTimersByTime(WINDOW_MILLISECONDS - 1);
  expect(possible()).toBeUndefined();
  jest.advanceTimersByTime(1);
  expect(possible()).toEqual(['v1']);
});

test('a version that has left counts until the time is over', () => {
  versions.observe([target('1', 'v1')]);
  jest.advanceTimersByTime(WINDOW_MILLISECONDS);
  versions.observe([target('2', 'v2')]);
  jest.advanceTimersByTime(WINDOW_MILLISECONDS);
  expect(possible()).toEqual(['v1', 'v2']);
  jest.advanceTimersByTime(1);
  expect(possible()).toEqual(['v2']);
});

test('a version that came and went counts', () => {
  versions.observe([target('1', 'v1')]);
  jest.advanceTimersByTime(WINDOW_MILLISECONDS);
  versions.observe([target('1', 'v1'), target('2', 'v2')]);
  versions.observe([target('1', 'v1')]);
  expect(possible()).toEqual(['v1', 'v2']);
});

test('a target that started again with another version counts twice', () => {
  versions.observe([target('1', 'v1')]);
  versions.observe([target('1', 'v2')]);
  jest.advanceTimersByTime(WINDOW_MILLISECONDS);
  expect(possible()).toEqual(['v1', 'v2']);
});

test('several versions are known from the first observation on, until the time is over', () => {
  const hasSeveral = () => versions.hasSeveral('s', WINDOW_MILLISECONDS);
  versions.observe([target('1', 'v1'), target('2', 'v1'), target('3', 'v2', 'other')]);
  expect(hasSeveral()).toBe(false);
  versions.observe([target('1', 'v1'), target('2', 'v2')]);
  expect(hasSeveral()).toBe(true);
  versions.observe([target('2', 'v2')]);
  jest.advanceTimersByTime(WINDOW_MILLISECONDS);
  expect(hasSeveral()).toBe(true);
  jest.advanceTimersByTime(1);
  expect(hasSeveral()).toBe(false);
});

test('versions of other services do not count', () => {
  versions.observe([target('1', 'v1'), target('2', 'v2', 'other')]);
  jest.advanceTimersByTime(WINDOW_MILLISECONDS);
  expect(possible()).toEqual(['v1']);
});

test('a target without a version counts as one of its own', () => {
  versions.observe([target('1', 'v1'), target('2', undefined)]);
  jest.advanceTimersByTime(WINDOW_MILLISECONDS);
  expect(possible()).toEqual(['v1', undefined]);
});

test('after missed changes nothing is known for a while', () => {
  versions.observe([target('1', 'v1')]);
  jest.advanceTimersByTime(WINDOW_MILLISECONDS);
  versions.restart();
  expect(possible()).toBeUndefined();
});

test('versions within a time for which none are kept are unknown', () => {
  jest.advanceTimersByTime(2_000_000);
  expect(versions.within('s', 700_000)).toBeUndefined();
});
