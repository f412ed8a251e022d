import { create } from '@bufbuild/protobuf';
import { MemoryMetrics } from '@limpetnotch/observability';
import { RunCallEventSchema, RunCallRequestSchema } from '@limpetnotch/peer-protocol';
import type { RunCallEvent, RunCallRequest } from '@limpetnotch/peer-protocol';
import type { AnswerSink } from '../../src/entry/answerSink';
import { CallRelay } from '../../src/entry/callRelay';
import type { OwnerRoute } from '../../src/entry/ownerDirectory';
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
const chunk = (text: string): RunCallEvent =>
  create(RunCallEventSchema, { event: { case: 'chunk', value: Buffer.from(text) } });

/** Answers each call with the next of the given streams; `lost` breaks the stream. */
const ownerOf = (
  streams: readonly (readonly (RunCallEvent | 'lost')[])[],
  requests: RunCallRequest[] = [],
): OwnerRoute => ({
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

const relayThrough = async (
  owner: OwnerRoute | undefined,
  sink: RecordingSink,
  signal = new AbortController().signal,
): Promise<void> => {
  const relay = new CallRelay({
    directory: { ownerOf: () => owner, refresh: async () => Promise.resolve() },
    metrics: new MemoryMetrics(),
  });
  const request = create(RunCallRequestSchema, { relayId: 'call', idempotencyKey: 'key' });
  const done = relay.relay({ request, sink, signal });
  await jest.advanceTimersByTimeAsync(30_000);
  await done;
};

test('relays an answer whole', async () => {
  const sink = new RecordingSink();
  await relayThrough(ownerOf([[head, chunk('one '), chunk('two'), end]]), sink);
  expect(sink).toMatchObject({ text: 'one two', ended: true, problem: undefined });
});

test('asks the next owner with the same idempotency key', async () => {
  const sink = new RecordingSink();
  const requests: RunCallRequest[] = [];
  await relayThrough(ownerOf([[notOwner], ['lost'], [head, chunk('answer'), end]], requests), sink);
  expect(sink).toMatchObject({ text: 'answer', ended: true });
  expect(new Set(requests.map(({ idempotencyKey }) => idempotencyKey))).toEqual(new Set(['key']));
});

test('goes on where the lost owner stopped', async () => {
  const sink = new RecordingSink();
  const streams = [
    [head, chunk('one '), 'lost' as const],
    [head, chunk('one two'), end],
  ];
  await relayThrough(ownerOf(streams), sink);
  expect(sink).toMatchObject({ text: 'one two', ended: true });
});

test('never joins two different answers', async () => {
  const sink = new RecordingSink();
  const streams = [
    [head, chunk('one '), 'lost' as const],
    [head, chunk('ten two'), end],
  ];
  await relayThrough(ownerOf(streams), sink);
  expect(sink).toMatchObject({ text: 'one ', ended: false });
  expect(sink.problem).toMatchObject({ problem: 'target-broken', executed: 'yes' });
});

test('an answer that is shorter than what was relayed does not end it', async () => {
  const sink = new RecordingSink();
  const streams = [
    [head, chunk('one two'), 'lost' as const],
    [head, chunk('one'), end],
  ];
  await relayThrough(ownerOf(streams), sink);
  expect(sink.ended).toBe(false);
  expect(sink.problem?.problem).toBe('target-broken');
});

test('says not run only where no owner took the call', async () => {
  const untaken = new RecordingSink();
  await relayThrough(undefined, untaken);
  expect(untaken.problem).toMatchObject({ problem: 'owner-unreachable', executed: 'no' });
  const lost = new RecordingSink();
  await relayThrough(ownerOf([['lost']]), lost);
  expect(lost.problem).toMatchObject({ problem: 'owner-unreachable', executed: 'unknown' });
});
