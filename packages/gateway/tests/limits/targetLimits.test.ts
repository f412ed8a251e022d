import type { LogFields, Logger } from '@limpetnotch/observability';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { NamedLimit } from '../../src/calls/wireCodec';
import { TargetLimits } from '../../src/limits/targetLimits';
import { getIncarnationKey } from '../../src/targets/getIncarnationKey';
import { fleetTarget } from '../support/fleetTarget';

const target = fleetTarget({ id: 't0', bornMilliseconds: 1 });
const key = getIncarnationKey(target);

const logLines: [string, LogFields | undefined][] = [];
const record: Logger['info'] = (message, fields) => logLines.push([message, fields]);
const logger: Logger = { ...silentLogger, info: record, warn: record };

let limits = new TargetLimits({ logger, metrics: new MemoryMetrics() });

beforeEach(() => {
  jest.useFakeTimers();
  logLines.length = 0;
  limits = new TargetLimits({ logger, metrics: new MemoryMetrics() });
});

afterEach(() => {
  jest.useRealTimers();
});

const limited = (requestsPerSecond: number): NamedLimit => ({ kind: 'limited', requestsPerSecond });

const observe = (namedLimit: NamedLimit, change: { sentAt?: number; isSigned?: boolean } = {}) => {
  jest.advanceTimersByTime(100);
  limits.observe({
    target,
    namedLimit,
    isSigned: change.isSigned ?? true,
    request: 'r1',
    sentAtMilliseconds: change.sentAt ?? performance.now() - 10,
  });
};

const getPerSecond = (): number | undefined => limits.getLimit(key)?.requestsPerSecond;

test('a limit is learned, changed and ended with a log line each', () => {
  observe(limited(8));
  observe(limited(8));
  observe(limited(4));
  observe({ kind: 'none' });
  expect(getPerSecond()).toBeUndefined();
  expect(logLines.map(([message]) => message)).toEqual([
    'limits.learned',
    'limits.changed',
    'limits.ended',
  ]);
  expect(logLines[1]?.[1]).toMatchObject({ target: key, perSecond: 4, previousPerSecond: 8 });
});

test('a response to an earlier request can lower a limit, but not raise or end it', () => {
  const sentAt = performance.now();
  observe(limited(8));
  observe(limited(9), { sentAt });
  observe({ kind: 'none' }, { sentAt });
  expect(getPerSecond()).toBe(8);
  observe(limited(3), { sentAt });
  expect(getPerSecond()).toBe(3);
});

test('a declined request without a limit does not end the limit', () => {
  observe(limited(8));
  observe({ kind: 'none' }, { isSigned: false });
  expect(getPerSecond()).toBe(8);
});

test('a malformed value leaves the limit in force and is logged once', () => {
  observe(limited(8));
  observe({ kind: 'malformed', text: '1e2' });
  observe({ kind: 'malformed', text: '1e2' });
  expect(getPerSecond()).toBe(8);
  expect(logLines.filter(([message]) => message === 'limits.malformed')).toHaveLength(1);
});

test('a restarted target has no limit', () => {
  observe(limited(8));
  expect(limits.getLimit(getIncarnationKey({ ...target, bornMilliseconds: 2 }))).toBeUndefined();
  limits.retain(() => false);
  expect(getPerSecond()).toBeUndefined();
});

test('what a peer knows applies if it is newer', () => {
  observe(limited(8));
  const at = performance.now();
  limits.merge(key, { kind: 'ended', observedAtMilliseconds: at - 5 });
  expect(getPerSecond()).toBe(8);
  limits.merge(key, { kind: 'ended', observedAtMilliseconds: at + 5 });
  expect(getPerSecond()).toBeUndefined();
});

test('values that change with each response are logged at most once a second', () => {
  for (let step = 0; step < 50; step += 1) observe(limited(8 + step / 10));
  expect(logLines.length).toBeLessThanOrEqual(6);
});
