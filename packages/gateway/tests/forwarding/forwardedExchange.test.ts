import { AnswerBrokenError } from '../../src/targets/exchangeError';
import type { ForwardedPart, ForwardingFailure } from '../../src/forwarding/forwardedPart';
import type { Forwarder, ForwarderEnd } from '../../src/forwarding/forwardedExchange';
import { ForwardedExchange } from '../../src/forwarding/forwardedExchange';

const HEAD: ForwardedPart = { kind: 'head', status: 200, rawHeaders: [], framing: 'delimited' };
const END: ForwardedPart = { kind: 'end' };

const data = (text: string): ForwardedPart => ({ kind: 'data', bytes: Buffer.from(text) });

const failure = (kind: ForwardingFailure): ForwardedPart => ({
  kind: 'failure',
  failure: kind,
  detail: kind,
});

/** What a forwarder sends; `silence` sends nothing until it is aborted, `error` breaks the hop. */
type Step = ForwardedPart | 'silence' | 'error';

let ends: ForwarderEnd[];
let signals: AbortSignal[];

beforeEach(() => {
  jest.useFakeTimers();
  ends = [];
  signals = [];
});

afterEach(() => {
  jest.useRealTimers();
});

const forwarder = (steps: readonly Step[]): Forwarder => ({
  name: 'helper',
  async *open(signal) {
    signals.push(signal);
    for (const step of steps) {
      if (step === 'error') throw new Error('socket hang up');
      if (step === 'silence') {
        await new Promise((resolve) => {
          signal.addEventListener('abort', resolve);
        });
        return;
      }
      yield step;
    }
  },
  close: (end) => ends.push(end),
});

const start = (...attempts: readonly (readonly Step[])[]): ForwardedExchange => {
  const forwarders = attempts.map(forwarder);
  return ForwardedExchange.start(() => forwarders.shift());
};

const readBody = async (exchange: ForwardedExchange): Promise<string> => {
  const head = await exchange.head;
  const chunks: Buffer[] = [];
  for await (const chunk of head._unsafeUnwrap().body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

const failureOf = async (exchange: ForwardedExchange) => (await exchange.head)._unsafeUnwrapErr();

const bodyErrorOf = async (exchange: ForwardedExchange): Promise<unknown> => {
  const error: unknown = await readBody(exchange).catch((thrown: unknown) => thrown);
  return error instanceof AnswerBrokenError ? error.reason.kind : error;
};

test('a response arrives with its head, its parts and its end', async () => {
  const exchange = start([{ kind: 'progress' }, HEAD, data('a'), data('b'), END]);
  expect(await readBody(exchange)).toBe('ab');
  expect([exchange.wasSent, exchange.framing, ends]).toEqual([true, 'delimited', ['used']]);
});

// A hop that breaks between two parts must not look like the end of the response.
test.each([
  ['ends', [HEAD, data('a')]],
  ['breaks', [HEAD, data('a'), 'error']],
  ['is lost', [HEAD, data('a'), failure('broken')]],
  ['sends a second head', [HEAD, data('a'), HEAD]],
] as const)('a response is broken if the hop %s before its end', async (_name, steps) => {
  expect(await bodyErrorOf(start(steps))).toBe('broken');
});

test('a request may have run if the hop breaks before the head', async () => {
  const exchange = start(['error']);
  expect(await failureOf(exchange)).toMatchObject({ kind: 'broken' });
  expect([exchange.wasSent, ends]).toEqual([true, ['lost']]);
});

test('a request may have run if the hop falls silent', async () => {
  const exchange = start([{ kind: 'progress' }, 'silence']);
  await jest.advanceTimersByTimeAsync(1_000);
  expect(await failureOf(exchange)).toMatchObject({ kind: 'broken' });
  expect([exchange.wasSent, ends, signals[0]?.aborted]).toEqual([true, ['lost'], true]);
});

test('an instance that declines is replaced by the next one', async () => {
  const exchange = start([failure('declined')], [HEAD, data('x'), END]);
  expect(await readBody(exchange)).toBe('x');
  expect(ends).toEqual(['declined', 'used']);
});

test('a request that went to an instance that was lost goes to no other', async () => {
  const exchange = start(['error'], [HEAD, END]);
  expect(await failureOf(exchange)).toMatchObject({ kind: 'broken' });
  expect(signals).toHaveLength(1);
});

// Instances that couldn't reach one target were avoided for all others, too.
test('an instance that has no path to the target is no worse for others', async () => {
  const exchange = start([failure('target-unavailable')], [HEAD, data('x'), END]);
  expect(await readBody(exchange)).toBe('x');
  expect(ends).toEqual(['target-unavailable', 'used']);
});

test('nothing was sent if all instances decline', async () => {
  const exchange = start([failure('declined')], [failure('declined')]);
  expect(await failureOf(exchange)).toMatchObject({ kind: 'not-sent', isRefused: false });
  expect(exchange.wasSent).toBe(false);
});

test('a refusal by the target arrives as one, and nothing was sent', async () => {
  const exchange = start([failure('refused')]);
  expect(await failureOf(exchange)).toMatchObject({ kind: 'not-sent', isRefused: true });
  expect(exchange.wasSent).toBe(false);
});

test('an aborted exchange ends at the instance that forwards it', async () => {
  const exchange = start(['silence']);
  await jest.advanceTimersByTimeAsync(10);
  exchange.abort('caller gone');
  expect(await failureOf(exchange)).toMatchObject({ kind: 'aborted', detail: 'caller gone' });
  expect([signals[0]?.aborted, ends]).toEqual([true, ['used']]);
});

// An instance of another build may pass on the status of a failing target.
test.each([0, 99, 103, 600, 999])('a forwarded status of %d is no answer', async (status) => {
  const exchange = start([{ ...HEAD, status }, data('a'), END]);
  expect((await exchange.head)._unsafeUnwrapErr()).toMatchObject({ kind: 'broken' });
});
