import { create } from '@bufbuild/protobuf';
import { MemoryMetrics } from '@limpetnotch/observability';
import { Executed, RunCallEventSchema, RunCallRequestSchema } from '@limpetnotch/peer-protocol';
import type { RunCallEvent, RunCallRequest } from '@limpetnotch/peer-protocol';
import type { AnswerSink } from '../../src/entry/answerSink';
import { CallRelay } from '../../src/entry/callRelay';
import type { OwnerClient } from '../../src/entry/ownerDirectory';
import type { Problem } from '../../src/problems/problem';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

class RecordingSink implements AnswerSink {
  started = false;

  text = '';

  ended = false;

  problem: Problem | undefined;

  start(): void {
    this.started = true;
  }

  async write(bytes: Uint8Array): Promise<void> {
    this.text += Buffer.from(bytes).toString('utf8');
    return Promise.resolve();
  }

  end(): void {
    this.ended = true;
  }

  fail(problem: Problem): void {
    this.problem = problem;
  }
}

const head = create(RunCallEventSchema, { event: { case: 'head', value: { status: 200 } } });
const end = create(RunCallEventSchema, { event: { case: 'end', value: {} } });
const notOwner = create(RunCallEventSchema, { event: { case: 'notOwner', value: {} } });
const notOwnerAfter = (executed: Executed): RunCallEvent =>
  create(RunCallEventSchema, { event: { case: 'notOwner', value: { executed } } });
const chunk = (text: string): RunCallEvent =>
  create(RunCallEventSchema, { event: { case: 'chunk', value: Buffer.from(text) } });

/** Responds to each call with the next of the given streams; `lost` breaks the stream. */
const createOwner = (
  streams: readonly (readonly (RunCallEvent | 'lost')[])[],
  requests: RunCallRequest[] = [],
): OwnerClient => ({
  async *run(request) {
    requests.push(request);
    for (const event of streams[requests.length - 1] ?? []) {
      if (event === 'lost') throw new Error('connection lost');
      yield event;
    }
    await Promise.resolve();
  },
  cancel: () => undefined,
  readProgram: async () => Promise.reject(new Error('not used')),
  endProgram: async () => Promise.reject(new Error('not used')),
});

/** Answers of owners that have not run the call, for longer than the relay asks. */
const NOT_OWNERS = Array.from({ length: 1_000 }, () => [notOwnerAfter(Executed.NO)]);

const relayCall = async (
  owner: OwnerClient | undefined,
  sink: RecordingSink,
  signal = new AbortController().signal,
): Promise<void> => {
  const relay = new CallRelay({
    directory: { getOwner: () => owner, refresh: async () => Promise.resolve() },
    metrics: new MemoryMetrics(),
  });
  const request = create(RunCallRequestSchema, { relayId: 'call', idempotencyKey: 'key' });
  const done = relay.relay({ request, sink, signal });
  await jest.advanceTimersByTimeAsync(30_000);
  await done;
};

test('relays a complete answer', async () => {
  const sink = new RecordingSink();
  await relayCall(createOwner([[head, chunk('one '), chunk('two'), end]]), sink);
  expect(sink).toMatchObject({ text: 'one two', ended: true, problem: undefined });
});

test('retries at the next owner with the same idempotency key', async () => {
  const sink = new RecordingSink();
  const requests: RunCallRequest[] = [];
  await relayCall(
    createOwner([[notOwner], ['lost'], [head, chunk('answer'), end]], requests),
    sink,
  );
  expect(sink).toMatchObject({ text: 'answer', ended: true });
  expect(new Set(requests.map(({ idempotencyKey }) => idempotencyKey))).toEqual(new Set(['key']));
});

test('resumes where the lost owner stopped', async () => {
  const sink = new RecordingSink();
  const streams = [
    [head, chunk('one '), 'lost' as const],
    [head, chunk('one two'), end],
  ];
  await relayCall(createOwner(streams), sink);
  expect(sink).toMatchObject({ text: 'one two', ended: true });
});

test('never joins two different answers', async () => {
  const sink = new RecordingSink();
  const streams = [
    [head, chunk('one '), 'lost' as const],
    [head, chunk('ten two'), end],
  ];
  await relayCall(createOwner(streams), sink);
  expect(sink).toMatchObject({ text: 'one ', ended: false });
  expect(sink.problem).toMatchObject({ problem: 'target-broken', executed: 'yes' });
});

test('fails a repeated answer that is shorter than the relayed part', async () => {
  const sink = new RecordingSink();
  const streams = [
    [head, chunk('one two'), 'lost' as const],
    [head, chunk('one'), end],
  ];
  await relayCall(createOwner(streams), sink);
  expect(sink.ended).toBe(false);
  expect(sink.problem?.problem).toBe('target-broken');
});

test('reports not executed only if no owner accepted the call', async () => {
  const untaken = new RecordingSink();
  await relayCall(undefined, untaken);
  expect(untaken.problem).toMatchObject({ problem: 'owner-unreachable', executed: 'no' });
  const lost = new RecordingSink();
  await relayCall(createOwner([['lost']]), lost);
  expect(lost.problem).toMatchObject({ problem: 'owner-unreachable', executed: 'unknown' });
});

// The call had run, and its caller read that it had not.
test.each([
  [Executed.NO, 'no'],
  [Executed.YES, 'unknown'],
  [Executed.UNKNOWN, 'unknown'],
  // An owner of an earlier version.
  [Executed.UNSPECIFIED, 'unknown'],
])(
  'reports what an owner executed before it lost the partition (%d)',
  async (executed, reported) => {
    const sink = new RecordingSink();
    await relayCall(createOwner([[notOwnerAfter(executed)], ...NOT_OWNERS]), sink);
    expect(sink.problem).toMatchObject({ problem: 'owner-unreachable', executed: reported });
  },
);
