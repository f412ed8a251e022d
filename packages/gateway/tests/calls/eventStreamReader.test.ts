import { EventStreamReader } from '../../src/calls/eventStreamReader';

test('events are split at blank lines for any chunk size', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n';
  for (let size = 1; size <= text.length; size += 1) {
    const reader = new EventStreamReader();
    const ids: (string | undefined)[] = [];
    for (let start = 0; start < text.length; start += size) {
      const chunk = Buffer.from(text.slice(start, start + size));
      ids.push(...reader.push(chunk).map(({ id }) => id));
    }
    expect(ids).toEqual(['1', '2', '3']);
    expect(reader.isInsideEvent).toBe(false);
  }
});

test.each([
  ['data: a\n\n', true],
  ['id: 1\r\ndata\r\n\r\n', true],
  [': data: a\n\n', false],
  ['retry: 100\n\n', false],
  ['database: a\n\n', false],
])('detects whether %j carries data', (text, hasData) => {
  expect(new EventStreamReader().push(Buffer.from(text))).toMatchObject([{ hasData }]);
});

test('an incomplete event is detected and not returned', () => {
  const reader = new EventStreamReader();
  expect(reader.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))).toHaveLength(1);
  expect(reader.isInsideEvent).toBe(true);
});
