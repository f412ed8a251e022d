import { encodeEnvelope, END_FLAG } from '../../src/server-stream/encodeEnvelope';
import { EnvelopeReader } from '../../src/server-stream/envelopeReader';

const contents = ['', 'one', 'x'.repeat(300), 'end'].map((text) => Buffer.from(text));

const encoded = Buffer.concat(
  contents.map((content, index) => encodeEnvelope(index === 3 ? END_FLAG : 0, content)),
);

// The network splits and joins messages at any place.
test.each([1, 2, 4, 7, 64, 1_000])('messages are found in pieces of %i bytes', (size) => {
  const reader = new EnvelopeReader();
  const found = [];
  for (let start = 0; start < encoded.length; start += size) {
    found.push(...reader.push(encoded.subarray(start, start + size)));
  }
  expect(found.map(({ content }) => Buffer.from(content).toString())).toEqual(contents.map(String));
  expect(found.map(({ flags }) => flags)).toEqual([0, 0, 0, END_FLAG]);
});

// A length that is damaged or hostile must not reserve memory.
test('a message that is too large is refused before it has arrived', () => {
  const header = Buffer.from([0, 0xff, 0xff, 0xff, 0xff]);
  expect(() => new EnvelopeReader().push(header)).toThrow('too large');
});
