import fc from 'fast-check';
import { AnswerReader } from '../../src/targets/answerReader';

const stream = [
  'data: {"choices":[{"delta":{"content":"né"}}]}\n\n',
  ': comment\n\n',
  'data: {"choices":[{"delta":{}}],"usage":{"prompt_tokens":7,"completion_tokens":1,"prompt_tokens_details":{"cached_tokens":4}}}\n\n',
  'data: [DONE]\n\n',
].join('');

test('returns complete events wherever the bytes are split', () => {
  const bytes = Buffer.from(stream);
  fc.assert(
    fc.property(fc.array(fc.nat(bytes.length), { maxLength: 8 }), (cuts) => {
      const reader = new AnswerReader();
      const places = [0, ...cuts.sort((one, other) => one - other), bytes.length];
      const frames = places
        .slice(1)
        .flatMap((place, index) => reader.read(bytes.subarray(places[index], place)));
      expect(frames.map(({ text }) => text).join('')).toBe(stream);
      expect(frames.map(({ isLast: done }) => done)).toEqual([false, false, false, true]);
      expect(reader.tokens).toBe(1);
      expect(reader.usage).toEqual({ promptTokens: 7, outputTokens: 1, cachedTokens: 4 });
    }),
    { seed: 11, numRuns: 200 },
  );
});
