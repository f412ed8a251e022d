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

const PAIRS = STATES.flatMap((state) => SIGNALS.map((signal) => ({ state, signal })));

let events: EventEmitter;
let signals: ProcessSignals;
let reloads: number;
let reloading: Deferred;
let received: (LogFields | undefined)[];

const reload = (): Promise<void> => {
  reloads += 1;
  return reloading.promise;
};

const turn = (): Promise<void> => new Promise(setImmediate);

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

const reach = (state: ProcessState): void => {
  if (state !== 'starting') signals.markServing(reload);
  if (state === 'reloading') events.emit('SIGHUP');
  if (state === 'draining' || state === 'ended') events.emit('SIGTERM');
  if (state === 'ended') signals.markEnded();
  expect(signals.state).toBe(state);
};

test.each(PAIRS)('$signal while $state is heard and logged', ({ state, signal }) => {
  reach(state);
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

test('hangups during a reload cause one more after it', async () => {
  reach('reloading');
  events.emit('SIGHUP');
  events.emit('SIGHUP');
  await turn();
  expect(reloads).toBe(1);
  reloading.resolve(undefined);
  await turn();
  expect(reloads).toBe(2);
  expect(signals.state).toBe('serving');
});

test('a stop during a reload drops the one that would follow', async () => {
  reach('reloading');
  events.emit('SIGHUP');
  events.emit('SIGTERM');
  reloading.resolve(undefined);
  await turn();
  expect(reloads).toBe(1);
  expect(signals.state).toBe('draining');
});

test.each(['SIGVTALRM', 'SIGPROF', 'SIGSYS', 'SIGSEGV', 'SIGABRT'])(
  '%s is left to the runtime',
  (signal) => {
    expect(events.listenerCount(signal)).toBe(0);
  },
);

test('a hangup before the process serves is met once it does', async () => {
  events.emit('SIGHUP');
  events.emit('SIGHUP');
  signals.markServing(reload);
  await turn();
  expect(reloads).toBe(1);
});

test('a process that was stopped before it served does not serve', () => {
  events.emit('SIGTERM');
  signals.markServing(reload);
  expect(signals.state).toBe('draining');
});

test('a hangup after a stop has no effect', async () => {
  reach('draining');
  events.emit('SIGHUP');
  await turn();
  expect(reloads).toBe(0);
});

test('a hangup has no effect where nothing can be reloaded', async () => {
  events = new EventEmitter();
  signals = ProcessSignals.install({ events });
  signals.markServing(reload);
  events.emit('SIGHUP');
  await turn();
  expect(reloads).toBe(0);
});
