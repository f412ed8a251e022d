import { EventEmitter } from 'node:events';
import type { LogFields, Logger } from '@limpetnotch/observability';
import { MemoryMetrics } from '@limpetnotch/observability';
import { ProcessReport } from '../src/processReport';

let events: EventEmitter;
let report: ProcessReport;
let metrics: MemoryMetrics;
let lines: { message: string; fields: LogFields | undefined }[];

const write = (message: string, fields?: LogFields): void => {
  lines.push({ message, fields });
};
const logger: Logger = { debug: write, info: write, warn: write, error: write };

beforeEach(() => {
  events = new EventEmitter();
  report = new ProcessReport(events);
  metrics = new MemoryMetrics();
  lines = [];
});

afterEach(() => jest.restoreAllMocks());

const RELOAD_SIGNAL = { signal: 'SIGHUP', state: 'serving', effect: 'reload' };

test('each signal is logged and counted', () => {
  report.writeTo({ logger, metrics });
  report.recordSignal(RELOAD_SIGNAL);
  report.recordSignal(RELOAD_SIGNAL);
  expect(lines.map(({ message }) => message)).toEqual(['signal.received', 'signal.received']);
  expect(lines.at(-1)?.fields).toEqual({ ...RELOAD_SIGNAL, count: 2 });
  expect(metrics.counter('process.signals', { signal: 'SIGHUP' })).toBe(2);
});

test('signals received before the logger is set are logged and counted afterwards', () => {
  report.recordSignal(RELOAD_SIGNAL);
  report.writeTo({ logger, metrics });
  expect(lines).toEqual([{ message: 'signal.received', fields: { ...RELOAD_SIGNAL, count: 1 } }]);
  expect(metrics.counter('process.signals', { signal: 'SIGHUP' })).toBe(1);
});

test('an exit without a signal is logged with its exit code', () => {
  report.writeTo({ logger });
  events.emit('exit', 0);
  expect(lines.at(-1)?.message).toBe('process.exiting');
  expect(lines.at(-1)?.fields).toMatchObject({ exitCode: 0, reason: 'finished' });
});

test('an exit after a stop signal is logged with the signal', () => {
  report.writeTo({ logger });
  report.recordStopSignal('SIGTERM');
  events.emit('exit', 0);
  expect(lines.at(-1)?.fields).toMatchObject({ reason: 'stop-signal', signal: 'SIGTERM' });
});

test.each(['uncaughtException', 'unhandledRejection'])('a crash by %s is logged', (origin) => {
  report.writeTo({ logger });
  events.emit('uncaughtExceptionMonitor', new Error('broken'), origin);
  events.emit('exit', 1);
  const [crash, end] = lines;
  expect(crash?.message).toBe('process.crashed');
  expect(crash?.fields?.detail).toContain('Error: broken');
  expect(end?.fields).toMatchObject({ exitCode: 1, reason: 'crash', origin });
});

test('lines go to standard error at exit if no logger was set', () => {
  const written: string[] = [];
  jest.spyOn(process.stderr, 'write').mockImplementation((text) => written.push(String(text)) > 0);
  report.recordSignal(RELOAD_SIGNAL);
  events.emit('exit', 0);
  const messages = written.map((line) => (JSON.parse(line) as { message: string }).message);
  expect(messages).toEqual(['signal.received', 'process.exiting']);
});

test('nothing is written at exit without a logger or buffered lines', () => {
  const written = jest.spyOn(process.stderr, 'write').mockReturnValue(true);
  events.emit('exit', 0);
  expect(written).not.toHaveBeenCalled();
});

test('the number of buffered lines is bounded', () => {
  Array.from({ length: 500 }, () => report.recordSignal(RELOAD_SIGNAL));
  report.writeTo({ logger, metrics });
  expect(lines).toHaveLength(100);
  expect(metrics.counter('process.signals', { signal: 'SIGHUP' })).toBe(500);
});
