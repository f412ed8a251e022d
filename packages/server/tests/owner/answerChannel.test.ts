import { AnswerChannel } from '../../src/owner/answerChannel';

const MEBIBYTE = 1024 * 1024;

test('blocks the writer while the reader is slow', async () => {
  const channel = new AnswerChannel<string>();
  let pushed = false;
  const pushing = channel.push('large', MEBIBYTE).then(() => {
    pushed = true;
  });
  await Promise.resolve();
  expect(pushed).toBe(false);
  const reader = channel[Symbol.asyncIterator]();
  expect((await reader.next()).value).toBe('large');
  await pushing;
  expect(pushed).toBe(true);
});

test('releases the writer when the reader has disconnected', async () => {
  const channel = new AnswerChannel<string>();
  const pushing = channel.push('large', MEBIBYTE);
  channel.detach();
  await pushing;
  await channel.push('more', MEBIBYTE);
  const reader = channel[Symbol.asyncIterator]();
  expect((await reader.next()).done).toBe(true);
});
