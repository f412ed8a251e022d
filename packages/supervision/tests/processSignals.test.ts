import { EventEmitter } from 'node:events';
import type { LogFields } from '@limpetnotch/observability';
import { silentLogger } from '@limpetnotch/observability';
import { Deferred } from '../src/deferred';
import { ProcessSignals } from '../src/processSignals';
import type { ProcessState } from '../src/signalEffect';

const STATES = ['starting', 'serving', 'reloading', 'draining', 'ended'] as const;

const STOP_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGQUIT'];

const SIGNALS = [
  ...STOP_SIGNALS,
  'SIGHUP',
  'SIGUSR1',
  'SIGUSR2',
  'SIGALRM',
  'SIGIO',
  'SIGPWR',
  'SIGSTKFLT',
  'SIGXCPU',
];

const STATE_SIGNAL_PAIRS = STATES.flatMap((state) => SIGNALS.map((signal) => ({ state, signal })));

let events: EventEmitter;
let signals: ProcessSignals;
let reloads: number;
let reloading: Deferred;
let received: (LogFields | undefined)[];

const reload = (): Promise<void> => {
  reloads += 1;
  return reloading.promise;
};

const waitForImmediate = (): Promise<void> => new Promise(setImmediate);

beforeEach(() => {
  events = new EventEmitter();
  signals = ProcessSignals.install({ events, isReloadable: true });
  reloads = 0;
  reloading = new Deferred();
  received = [];
  signals.report.writeTo({
    logger: { ...silentLogger, info: (_message, fields) => received.push(fields) },
  });
});

const enterState = (state: ProcessState): void => {
  if (state !== 'starting') signals.markServing(reload);
  if (state === 'reloading') events.emit('SIGHUP');
  if (state === 'draining' || state === 'ended') events.emit('SIGTERM');
  if (state === 'ended') signals.markEnded();
  expect(signals.state).toBe(state);
};

test.each(STATE_SIGNAL_PAIRS)('$signal while $state is handled and logged', ({ state, signal }) => {
  enterState(state);
  expect(events.listenerCount(signal)).toBe(1);
  events.emit(signal);
  expect(events.listenerCount(signal)).toBe(1);
  expect(received.at(-1)).toMatchObject({ signal, state });
  const isStopped = STOP_SIGNALS.includes(signal) || state === 'draining' || state === 'ended';
  expect(signals.stopping.aborted).toBe(isStopped);
});

test.each(SIGNALS)('%s is counted each time', (signal) => {
  events.emit(signal);
  events.emit(signal);
  expect(received.at(-1)).toMatchObject({ signal, count: 2 });
});

test('SIGHUPs during a reload cause one more reload after it', async () => {
  enterState('reloading');
  events.emit('SIGHUP');
  events.emit('SIGHUP');
  await waitForImmediate();
  expect(reloads).toBe(1);
  reloading.resolve(undefined);
  await waitForImmediate();
  expect(reloads).toBe(2);
  expect(signals.state).toBe('serving');
});

test('a stop signal during a reload cancels the pending reload', async () => {
  enterState('reloading');
  events.emit('SIGHUP');
  events.emit('SIGTERM');
  reloading.resolve(undefined);
  await waitForImmediate();
  expect(reloads).toBe(1);
  expect(signals.state).toBe('draining');
});

test.each(['SIGVTALRM', 'SIGPROF', 'SIGSYS', 'SIGSEGV', 'SIGABRT'])(
  '%s has no listener',
  (signal) => {
    expect(events.listenerCount(signal)).toBe(0);
  },
);

test('SIGHUP during the start causes a reload once the process is serving', async () => {
  events.emit('SIGHUP');
  events.emit('SIGHUP');
  signals.markServing(reload);
  await waitForImmediate();
  expect(reloads).toBe(1);
});

test('a process that was stopped during its start does not become serving', () => {
  events.emit('SIGTERM');
  signals.markServing(reload);
  expect(signals.state).toBe('draining');
});

test('SIGHUP after a stop signal has no effect', async () => {
  enterState('draining');
  events.emit('SIGHUP');
  await waitForImmediate();
  expect(reloads).toBe(0);
});

test('SIGHUP has no effect if the process is not reloadable', async () => {
  events = new EventEmitter();
  signals = ProcessSignals.install({ events });
  signals.markServing(reload);
  events.emit('SIGHUP');
  await waitForImmediate();
  expect(reloads).toBe(0);
});
