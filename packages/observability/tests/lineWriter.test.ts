import { LineWriter } from '../src/lineWriter';
import type { WriteText } from '../src/lineWriter';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const describeDropped = (count: number): string => `dropped ${count}\n`;

test('lines are written in batches', () => {
  const batches: string[] = [];
  const write: WriteText = (text, done) => {
    batches.push(text);
    done(null, Buffer.byteLength(text));
  };
  const writer = new LineWriter(describeDropped, write);
  writer.push('first\n');
  writer.push('second\n');
  expect(batches).toEqual([]);
  jest.advanceTimersByTime(100);
  expect(batches).toEqual(['first\nsecond\n']);
});

test('lines are retried in order after the output had no room', () => {
  let text = '';
  let calls = 0;
  const write: WriteText = (batch, done) => {
    calls += 1;
    if (calls === 1) {
      done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0);
      return;
    }
    const written = calls === 2 ? 3 : batch.length;
    text += batch.slice(0, written);
    done(null, written);
  };
  const writer = new LineWriter(describeDropped, write);
  writer.push('first\n');
  jest.advanceTimersByTime(30);
  writer.push('second\n');
  jest.advanceTimersByTime(1_000);
  expect(text).toBe('first\nsecond\n');
});

test('lines above the rate limit are dropped and counted', () => {
  let text = '';
  const writer = new LineWriter(describeDropped, (batch, done) => {
    text += batch;
    done(null, Buffer.byteLength(batch));
  });
  for (let line = 0; line < 5_000; line += 1) writer.push('line\n');
  jest.advanceTimersByTime(2_000);
  writer.push('after\n');
  jest.advanceTimersByTime(100);
  const lines = text.split('\n');
  expect(lines.filter((line) => line === 'line')).toHaveLength(3_000);
  expect(lines.slice(-3)).toEqual(['dropped 2000', 'after', '']);
});

test('memory is bounded if the output is never read', () => {
  const writer = new LineWriter(describeDropped, () => undefined);
  const line = `${'x'.repeat(10_000)}\n`;
  for (let second = 0; second < 10; second += 1) {
    for (let index = 0; index < 100; index += 1) writer.push(line);
    jest.advanceTimersByTime(1_000);
  }
  expect(() => writer.push(line)).not.toThrow();
});
