const KILOBYTE = 1_024;

/** Bytes that a faulty target sends without end in place of an answer or of its rest. */
export interface EndlessShape {
  readonly name: string;
  /** Sent once. */
  readonly first: string;
  /** Sent again and again. */
  readonly repeated: string;
}

const encodeChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const JUNK = 'a'.repeat(4 * KILOBYTE);

/** Texts of a stream, each repeated without end. */
const STREAM_TEXTS: Readonly<Record<string, string>> = {
  'blank lines': '\n\n',
  comments: ':\n\n',
  'comments of one line each': ': still here\n\n',
  'comments in one event': ': still here\n',
  'fields without data': 'retry: 1\n\n',
  'events with empty data': 'data:\n\n',
  'events with identifiers only': 'id: 1\n\n',
  'small events': 'id: 1\ndata: a\n\n',
  'a long comment': `:${JUNK}\n\n`,
  'an endless field': JUNK,
};

/** Returns the shapes for a request; `headers` are those of a valid answer to it. */
export const endlessShapes = (headers: string): readonly EndlessShape[] => {
  const head = `HTTP/1.1 200 OK\r\n${headers}`;
  const stream = `${head}content-type: text/event-stream\r\n`;
  const chunked = 'transfer-encoding: chunked\r\n\r\n';
  const plain = [
    { name: 'junk', first: '', repeated: JUNK },
    { name: 'a body in chunks', first: `${head}${chunked}`, repeated: encodeChunk(JUNK) },
    { name: 'a body in tiny chunks', first: `${head}${chunked}`, repeated: encodeChunk('a') },
    { name: 'a body that ends with its connection', first: `${head}\r\n`, repeated: JUNK },
    { name: 'informational answers', first: '', repeated: 'HTTP/1.1 103 Early\r\n\r\n' },
  ];
  const streams = Object.entries(STREAM_TEXTS).flatMap(([name, text]) => {
    const batch = text.repeat(Math.ceil((4 * KILOBYTE) / text.length));
    return [
      { name: `${name} in chunks`, first: `${stream}${chunked}`, repeated: encodeChunk(batch) },
      { name: `${name} in tiny chunks`, first: `${stream}${chunked}`, repeated: encodeChunk(text) },
      { name: `${name} without a length`, first: `${stream}\r\n`, repeated: batch },
    ];
  });
  return [...plain, ...streams];
};
