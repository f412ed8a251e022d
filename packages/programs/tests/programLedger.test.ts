import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { ProgramLedger } from '../src';
import type { CallOutcome, CallRequest, CallStart, ProgramLedgerSettings } from '../src';
import { ProgramTable } from '../src/programTable';
import { MemoryStore } from './memoryStore';

const SIGNAL = new AbortController().signal;
const USAGE = { tokens: 100, calls: 1, spendMicros: 10 };

const program = (path: string): CallRequest['program'] => ({ organisation: 'amman', path });

const request = (key: string, overrides: Partial<CallRequest> = {}): CallRequest => ({
  program: program('survey'),
  singleCall: false,
  idempotencyKey: key,
  requestDigest: `digest-${key}`,
  route: 'chat',
  idempotent: false,
  worstCase: USAGE,
  limits: {},
  requestBodyBase64: 'Ym9keQ==',
  ...overrides,
});

const answered = (text: string, usage = USAGE): CallOutcome => ({
  kind: 'answered',
  answer: { status: 200, contentType: 'text/plain', bodyBase64: text },
  usage,
});

const createFailure = (executed: 'no' | 'unknown'): CallOutcome => ({
  kind: 'failed',
  executed,
  problem: 'target-unreachable',
  detail: '',
  usage: { tokens: 0, calls: 0, spendMicros: 0 },
});

const restore = (
  store: MemoryStore,
  settings: Partial<ProgramLedgerSettings> = {},
  metrics = new MemoryMetrics(),
): ProgramLedger =>
  ProgramLedger.restore({
    snapshot: store.snapshot,
    records: store.records,
    journal: store.claim(),
    logger: silentLogger,
    metrics,
    settings,
  })._unsafeUnwrap();

const start = async (ledger: ProgramLedger, call: CallRequest): Promise<CallStart> =>
  (await ledger.begin(call, SIGNAL))._unsafeUnwrap();

const run = async (
  ledger: ProgramLedger,
  call: CallRequest,
): Promise<Extract<CallStart, { kind: 'run' }>> => {
  const started = await start(ledger, call);
  if (started.kind !== 'run') throw new Error(`expected a run, got ${started.kind}`);
  return started;
};

const complete = async (ledger: ProgramLedger, call: CallRequest): Promise<void> => {
  const { callId } = await run(ledger, call);
  (await ledger.finish(callId, answered(call.idempotencyKey)))._unsafeUnwrap();
};

const getRefusal = async (ledger: ProgramLedger, call: CallRequest): Promise<unknown> => {
  const { problem, executed } = (await ledger.begin(call, SIGNAL))._unsafeUnwrapErr();
  return { problem, executed };
};

const refused = (problem: string, executed = 'no'): unknown => ({ problem, executed });

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

test('commits start and intent in one append before a call runs', async () => {
  const store = new MemoryStore();
  await run(restore(store), request('1'));
  expect(store.appendCount).toBe(1);
  expect(store.records.map(({ kind }) => kind)).toEqual(['program-started', 'call-intended']);
});

test('runs the calls of a program in order of arrival', async () => {
  const ledger = restore(new MemoryStore());
  const first = await run(ledger, request('1'));
  const order: string[] = [];
  const others = ['2', '3'].map(async (key) => {
    const { callId, sequence } = await run(ledger, request(key));
    order.push(`${key}@${String(sequence)}`);
    await ledger.finish(callId, answered(key));
  });
  await ledger.finish(first.callId, answered('1'));
  await Promise.all(others);
  expect(order).toEqual(['2@1', '3@2']);
});

test('runs sub-agents concurrently with each other and with their parent', async () => {
  const ledger = restore(new MemoryStore());
  await run(ledger, request('1'));
  const paths = ['survey/left', 'survey/right'];
  const runs = await Promise.all(
    paths.map((path) => run(ledger, request('1', { program: program(path) }))),
  );
  expect(runs.map(({ sequence }) => sequence)).toEqual([0, 0]);
});

test('refuses a sub-agent without its parent', async () => {
  const ledger = restore(new MemoryStore());
  const child = request('1', { program: program('survey/left') });
  expect(await getRefusal(ledger, child)).toEqual(refused('parent-not-found'));
});

test('refuses an unexpected sequence and records nothing', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  expect(await getRefusal(ledger, request('1', { expectedSequence: 4 }))).toEqual(
    refused('sequence-conflict'),
  );
  expect(store.records).toEqual([]);
  expect(ledger.readProgram(program('survey')).isErr()).toBe(true);
});

test('replays the recorded answer, also at the next owner', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  await complete(ledger, request('1'));
  const replay = { kind: 'replay', sequence: 0, outcome: answered('1') };
  expect(await start(ledger, request('1'))).toEqual(replay);
  expect(await start(restore(store), request('1'))).toEqual(replay);
});

test('joins a call in progress', async () => {
  const ledger = restore(new MemoryStore());
  const { callId } = await run(ledger, request('1'));
  const joined = await start(ledger, request('1'));
  await ledger.finish(callId, answered('whole'));
  expect(joined.kind === 'join' && (await joined.outcome)).toEqual(answered('whole'));
});

test('refuses a different request with a used key', async () => {
  const ledger = restore(new MemoryStore());
  const other = request('1', { requestDigest: 'other' });
  const { callId } = await run(ledger, request('1'));
  expect(await getRefusal(ledger, other)).toEqual(refused('idempotency-conflict'));
  await ledger.finish(callId, answered('1'));
  expect(await getRefusal(ledger, other)).toEqual(refused('idempotency-conflict'));
});

test('refuses to repeat a non-idempotent call whose owner was lost', async () => {
  const store = new MemoryStore();
  await run(restore(store), request('1'));
  const next = restore(store);
  expect(await getRefusal(next, request('1'))).toEqual(refused('outcome-unknown', 'unknown'));
  expect(await start(next, request('1'))).toMatchObject({
    kind: 'replay',
    outcome: { executed: 'unknown' },
  });
  expect((await run(next, request('2'))).sequence).toBe(1);
});

test('repeats an idempotent call under its sequence and counts the lost reservation', async () => {
  const store = new MemoryStore();
  const call = request('1', { idempotent: true, limits: { tokens: 250 } });
  await run(restore(store), call);
  const next = restore(store);
  const again = await run(next, call);
  expect(again.sequence).toBe(0);
  await next.finish(again.callId, answered('1', { ...USAGE, tokens: 20 }));
  expect(next.readProgram(program('survey'))._unsafeUnwrap().left.tokens).toBe(130);
});

test('a lost attempt makes a later "not run" unknown', async () => {
  const store = new MemoryStore();
  const call = request('1', { idempotent: true });
  await run(restore(store), call);
  const next = restore(store);
  const { callId } = await run(next, call);
  await next.abandon(callId);
  const [entry] = next.readProgram(program('survey'))._unsafeUnwrap().history;
  expect(entry?.outcome).toMatchObject({ kind: 'failed', executed: 'unknown' });
});

test('closes a lost attempt when the program continues', async () => {
  const store = new MemoryStore();
  await run(restore(store), request('1'));
  const next = restore(store);
  await complete(next, request('2'));
  const { history } = next.readProgram(program('survey'))._unsafeUnwrap();
  expect(history.map(({ sequence, outcome }) => [sequence, outcome.kind])).toEqual([
    [0, 'failed'],
    [1, 'answered'],
  ]);
});

test('an abandoned call may run again as a new sequence', async () => {
  const ledger = restore(new MemoryStore());
  const { callId } = await run(ledger, request('1'));
  await ledger.abandon(callId);
  expect((await run(ledger, request('1'))).sequence).toBe(1);
});

test('reserves the worst case, caps tokens and settles to the usage', async () => {
  const ledger = restore(new MemoryStore());
  const limits = { tokens: 150, calls: 5 };
  const first = await run(ledger, request('1', { limits }));
  expect(first.reservation.tokens).toBe(100);
  const child = await run(ledger, request('c', { program: program('survey/c') }));
  expect(child.reservation.tokens).toBe(50);
  expect(await getRefusal(ledger, request('d', { program: program('survey/d') }))).toEqual(
    refused('budget-exhausted'),
  );
  await ledger.finish(first.callId, answered('1', { ...USAGE, tokens: 30 }));
  const last = await run(ledger, request('d', { program: program('survey/d') }));
  expect(last.reservation.tokens).toBe(70);
});

test.each([
  ['calls', { calls: 1 }],
  ['spend', { spendMicros: 15 }],
  ['wall time', { wallTimeMilliseconds: 1_000 }],
])('refuses when the limit of %s is used up', async (_name, limits) => {
  const ledger = restore(new MemoryStore());
  await complete(ledger, request('1', { limits }));
  jest.advanceTimersByTime(1_000);
  expect(await getRefusal(ledger, request('2'))).toEqual(refused('budget-exhausted'));
});

test('refuses a call if the budget is too small for the prompt', async () => {
  const ledger = restore(new MemoryStore());
  const call = request('1', { limits: { tokens: 80 }, minimumTokens: 90 });
  expect(await getRefusal(ledger, call)).toEqual(refused('budget-exhausted'));
});

test('counts usage above the reservation and reports a failed assertion', async () => {
  const metrics = new MemoryMetrics();
  const ledger = restore(new MemoryStore(), {}, metrics);
  const { callId } = await run(ledger, request('1', { limits: { tokens: 1_000 } }));
  await ledger.finish(callId, answered('1', { ...USAGE, tokens: 400 }));
  const tags = { invariant: 'usage-within-reservation' };
  expect(metrics.counter('program.assertion-failures', tags)).toBe(1);
  expect(ledger.readProgram(program('survey'))._unsafeUnwrap().left.tokens).toBe(600);
  expect((await run(ledger, request('2'))).sequence).toBe(1);
});

test('reports that the call did not run while the journal is unavailable', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  store.mode = 'unavailable';
  expect(await getRefusal(ledger, request('1'))).toEqual(refused('journal-unavailable'));
  store.mode = 'durable';
  expect((await run(ledger, request('1'))).sequence).toBe(0);
});

test('keeps an outcome that the journal did not accept', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  const { callId } = await run(ledger, request('1'));
  const joined = await start(ledger, request('1'));
  store.mode = 'unavailable';
  expect((await ledger.finish(callId, answered('1'))).isErr()).toBe(true);
  expect(joined.kind === 'join' && (await joined.outcome)).toMatchObject({
    executed: 'yes',
    problem: 'journal-unavailable',
  });
  expect(await getRefusal(ledger, request('1'))).toEqual(refused('journal-unavailable', 'yes'));
  expect(ledger.readProgram(program('survey'))._unsafeUnwrap().history).toEqual([]);
  store.mode = 'durable';
  expect((await start(ledger, request('1'))).kind).toBe('replay');
  expect((await start(restore(store), request('1'))).kind).toBe('replay');
});

test('finish retries a failed commit', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  const { callId } = await run(ledger, request('1'));
  store.mode = 'taken-unavailable';
  await ledger.finish(callId, answered('1'));
  store.mode = 'durable';
  expect((await ledger.finish(callId, answered('other'))).isOk()).toBe(true);
  expect(await start(restore(store), request('1'))).toMatchObject({ outcome: answered('1') });
});

test('does not replay an outcome while its commit is pending', async () => {
  const store = new MemoryStore();
  await run(restore(store), request('1'));
  const next = restore(store);
  store.mode = 'slow';
  const other = next.begin(request('2'), SIGNAL);
  await jest.advanceTimersByTimeAsync(0);
  const retry = next.begin(request('1'), SIGNAL);
  restore(store);
  store.release();
  expect((await retry)._unsafeUnwrapErr().executed).toBe('unknown');
  expect((await other)._unsafeUnwrapErr().problem).toBe('not-owner');
});

test('restores a repeated attempt that was stored although its owner withdrew it', async () => {
  const store = new MemoryStore();
  const call = request('1', { idempotent: true, limits: { tokens: 1_000 } });
  await run(restore(store), call);
  const next = restore(store);
  store.mode = 'taken-unavailable';
  expect(await getRefusal(next, call)).toEqual(refused('journal-unavailable', 'unknown'));
  store.mode = 'durable';
  await complete(next, request('2'));
  const view = next.readProgram(program('survey'));
  expect(restore(store).readProgram(program('survey'))).toEqual(view);
});

test('a sub-agent does not start on a parent whose start failed', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  store.mode = 'slow';
  const parent = ledger.begin(request('1'), SIGNAL);
  const child = ledger.begin(request('1', { program: program('survey/left') }), SIGNAL);
  await jest.advanceTimersByTimeAsync(0);
  store.mode = 'unavailable';
  store.release();
  expect((await parent)._unsafeUnwrapErr().problem).toBe('journal-unavailable');
  expect((await child)._unsafeUnwrapErr().problem).toBe('parent-not-found');
});

test('ending a program whose start failed does not end a later one of the same path', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  store.mode = 'slow';
  const pendingStart = ledger.begin(request('1'), SIGNAL);
  await jest.advanceTimersByTimeAsync(0);
  const ended = ledger.endProgram(program('survey'), 'caller');
  store.mode = 'unavailable';
  store.release();
  expect((await pendingStart).isErr()).toBe(true);
  expect((await ended)._unsafeUnwrapErr().problem).toBe('program-not-found');
  store.mode = 'durable';
  await complete(ledger, request('1'));
  expect((await start(restore(store), request('1'))).kind).toBe('replay');
});

test('an answer too large for the journal does not block its program', async () => {
  const store = new MemoryStore();
  store.maximumAppendBytes = 4_000;
  const ledger = restore(store, { maximumAppendBytes: 4_000 });
  const { callId } = await run(ledger, request('1'));
  expect((await ledger.finish(callId, answered('x'.repeat(9_000)))).isOk()).toBe(true);
  const failed = { kind: 'failed', executed: 'yes', problem: 'answer-too-large', usage: USAGE };
  expect(await start(restore(store), request('1'))).toMatchObject({ outcome: failed });
});

test('refuses a body too large for the journal and records nothing', async () => {
  const store = new MemoryStore();
  store.maximumAppendBytes = 4_000;
  const ledger = restore(store, { maximumAppendBytes: 4_000 });
  const large = request('1', { requestBodyBase64: 'x'.repeat(9_000) });
  expect(await getRefusal(ledger, large)).toEqual(refused('body-too-large'));
  expect((await run(ledger, request('2'))).sequence).toBe(0);
});

test('splits queued and new records that are too large for one append', async () => {
  const store = new MemoryStore();
  store.maximumAppendBytes = 4_000;
  const ledger = restore(store, { maximumAppendBytes: 4_000 });
  const { callId } = await run(ledger, request('1'));
  store.mode = 'unavailable';
  expect((await ledger.finish(callId, answered('x'.repeat(3_000)))).isErr()).toBe(true);
  store.mode = 'durable';
  await complete(ledger, request('2', { requestBodyBase64: 'y'.repeat(3_000) }));
  const { history } = restore(store).readProgram(program('survey'))._unsafeUnwrap();
  expect(history.map(({ outcome }) => outcome.kind)).toEqual(['answered', 'answered']);
});

test('runs only idempotent calls while commits are deferred', async () => {
  const store = new MemoryStore();
  store.mode = 'deferred';
  const ledger = restore(store);
  expect(await getRefusal(ledger, request('1'))).toEqual(refused('journal-unavailable'));
  expect((await run(ledger, request('2', { idempotent: true }))).durability).toBe('deferred');
});

test('a deposed owner neither answers nor starts calls', async () => {
  const store = new MemoryStore();
  const old = restore(store);
  const { callId } = await run(old, request('1'));
  const joined = await start(old, request('1'));
  restore(store);
  expect((await old.finish(callId, answered('1')))._unsafeUnwrapErr()).toEqual({ kind: 'deposed' });
  expect(joined.kind === 'join' && (await joined.outcome)).toMatchObject({ executed: 'unknown' });
  expect(await getRefusal(old, request('2'))).toEqual(refused('not-owner', 'unknown'));
  await old.drain();
});

test('a call cancelled while it waits or commits does not run', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  const { callId } = await run(ledger, request('1'));
  const controller = new AbortController();
  const waiting = ledger.begin(request('2'), controller.signal);
  controller.abort();
  expect((await waiting)._unsafeUnwrapErr()).toMatchObject(refused('cancelled') as object);
  await ledger.finish(callId, answered('1'));
  store.mode = 'slow';
  const committing = new AbortController();
  const pendingStart = ledger.begin(request('3'), committing.signal);
  await jest.advanceTimersByTimeAsync(0);
  committing.abort();
  store.mode = 'durable';
  store.release();
  expect((await pendingStart)._unsafeUnwrapErr()).toMatchObject(refused('cancelled') as object);
  expect((await run(ledger, request('3'))).sequence).toBe(2);
});

test('limits the number of waiting calls', async () => {
  const ledger = restore(new MemoryStore(), { maximumWaitingCalls: 1 });
  await run(ledger, request('1'));
  const waiting = ledger.begin(request('2'), SIGNAL);
  expect(await getRefusal(ledger, request('3'))).toEqual(refused('queue-full'));
  await ledger.endProgram(program('survey'), 'caller');
  expect((await waiting)._unsafeUnwrapErr()).toMatchObject(refused('program-ended') as object);
});

test('ending a root ends its sub-agents and lists their engine memory', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  await complete(ledger, request('1'));
  const child = program('survey/left');
  const { callId, sessionId } = await run(ledger, request('1', { program: child }));
  ledger.recordMemoryHeld(child, 'engine-a');
  ledger.recordMemoryHeld(child, 'engine-a');
  await ledger.endProgram(program('survey'), 'caller');
  expect(ledger.getMemoryToFree()).toEqual([]);
  await ledger.finish(callId, answered('1'));
  const memory = { program: child, target: 'engine-a', sessionId };
  expect(ledger.getMemoryToFree()).toEqual([memory]);
  const next = restore(store);
  expect(next.getMemoryToFree()).toEqual([memory]);
  expect(await getRefusal(next, request('2', { program: child }))).toEqual(
    refused('program-ended'),
  );
  await next.recordMemoryFreed(memory);
  expect(restore(store).getMemoryToFree()).toEqual([]);
});

test('a call lost with its owner may hold memory at any target', async () => {
  const store = new MemoryStore();
  await run(restore(store), request('1'));
  const next = restore(store);
  await next.endProgram(program('survey'), 'caller-gone');
  expect(next.getMemoryToFree()).toMatchObject([{ target: '*', program: program('survey') }]);
});

test('keeps organisations apart', async () => {
  const ledger = restore(new MemoryStore());
  await complete(ledger, request('1'));
  const other = { organisation: 'lahore', path: 'survey' };
  const missing = ledger.readProgram({ organisation: 'lahore', path: 'none' });
  expect(ledger.readProgram(other)).toEqual(missing);
  expect(await ledger.endProgram(other, 'caller')).toEqual(
    await ledger.endProgram({ organisation: 'lahore', path: 'none' }, 'caller'),
  );
  expect((await run(ledger, request('1', { program: other }))).sequence).toBe(0);
});

test('ends idle programs and removes ended ones after their retention', async () => {
  const settings = { idleMilliseconds: 1_000, endedRetentionMilliseconds: 5_000 };
  const store = new MemoryStore();
  const ledger = restore(store, settings);
  await complete(ledger, request('1'));
  expect(await ledger.endIdlePrograms(Date.now() + 1_000)).toBe(0);
  expect(await ledger.endIdlePrograms(Date.now() + 1_001)).toBe(1);
  expect(await getRefusal(ledger, request('2'))).toEqual(refused('program-ended'));
  expect((await start(ledger, request('1'))).kind).toBe('replay');
  jest.advanceTimersByTime(5_001);
  expect(ledger.snapshot().trees).toEqual([]);
  expect((await run(ledger, request('1'))).sequence).toBe(0);
  expect(restore(store).readProgram(program('survey')).isOk()).toBe(true);
});

test('a single-call program ends with its call, which is replayed until it expires', async () => {
  const store = new MemoryStore();
  const ledger = restore(store, { singleCallRetentionMilliseconds: 2_000 });
  const call = request('1', { singleCall: true });
  await complete(ledger, call);
  expect(store.appendCount).toBe(2);
  expect((await start(ledger, call)).kind).toBe('replay');
  jest.advanceTimersByTime(2_001);
  expect(ledger.snapshot().trees).toEqual([]);
});

test('a single-call program whose call did not run is removed immediately', async () => {
  const store = new MemoryStore();
  const ledger = restore(store);
  const call = request('1', { singleCall: true });
  const { callId } = await run(ledger, call);
  await ledger.finish(callId, createFailure('no'));
  expect(ledger.snapshot().trees).toEqual([]);
  await complete(ledger, call);
  expect((await start(restore(store), call)).kind).toBe('replay');
});

test('an idempotent call that failed may be retried with its key', async () => {
  const ledger = restore(new MemoryStore());
  const call = request('1', { idempotent: true, singleCall: true });
  const { callId } = await run(ledger, call);
  await ledger.finish(callId, createFailure('unknown'));
  expect((await run(ledger, call)).sequence).toBe(1);
});

test('drain waits for calls in progress and refuses others', async () => {
  const ledger = restore(new MemoryStore());
  const { callId } = await run(ledger, request('1'));
  const waiting = ledger.begin(request('2'), SIGNAL);
  let isDrained = false;
  const drainPromise = ledger.drain().then(() => {
    isDrained = true;
  });
  expect((await waiting)._unsafeUnwrapErr()).toMatchObject(refused('not-owner') as object);
  expect(isDrained).toBe(false);
  expect((await ledger.finish(callId, answered('1'))).isOk()).toBe(true);
  await drainPromise;
});

test('a failed invariant stops the partition and all further writes', async () => {
  const store = new MemoryStore();
  const metrics = new MemoryMetrics();
  const table = new ProgramTable();
  const ledger = new ProgramLedger(
    { journal: store.claim(), logger: silentLogger, metrics },
    table,
  );
  const { callId } = await run(ledger, request('1'));
  const recorded = [...store.records];
  // Simulates a defect: the table loses the call in progress.
  table.withdrawIntent(program('survey'), undefined);
  expect((await ledger.finish(callId, answered('1')))._unsafeUnwrapErr().kind).toBe('unavailable');
  const tags = { invariant: 'record-follows' };
  expect(metrics.counter('program.assertion-failures', tags)).toBe(1);
  expect(await getRefusal(ledger, request('2'))).toEqual(refused('partition-stopped'));
  expect(store.records).toEqual(recorded);
  expect(() => ledger.snapshot()).toThrow('invariant');
  expect(await getRefusal(restore(store), request('1'))).toEqual(
    refused('outcome-unknown', 'unknown'),
  );
});

test.each([
  ['a record of an unknown kind', undefined, [{ kind: 'other' }], 'record 0'],
  [
    'a snapshot of another version',
    { formatVersion: 9, trees: [], engineMemory: [] },
    [],
    'snapshot',
  ],
  [
    'an outcome without its intent',
    undefined,
    [
      {
        kind: 'call-finished',
        program: program('survey'),
        callId: '1',
        outcome: answered('1'),
        finishedAtMilliseconds: 0,
      },
    ],
    'unknown program',
  ],
])('does not restore %s', (_name, snapshot, records, detail) => {
  const journal = new MemoryStore().claim();
  const metrics = new MemoryMetrics();
  const restored = ProgramLedger.restore({
    snapshot,
    records,
    journal,
    metrics,
    logger: silentLogger,
  });
  expect(restored._unsafeUnwrapErr().detail).toContain(detail);
});
