import type { Socket } from 'node:net';

const BATCH_BYTES = 64 * 1024;

/** Far more than a process may buffer of a response; the sender stops here. */
const MAXIMUM_SENT_BYTES = 512 * 1024 * 1024;

const FILLER = 'a'.repeat(BATCH_BYTES);

/**
 * An endless response of a faulty server: what it sends first, and what it repeats until its client
 * closes.
 */
export interface EndlessAnswer {
  readonly first: string;
  readonly repeated: string;
  /** Whether the reader can discard all of it, so that only the rate limits how much is read. */
  readonly isDropped?: true;
}

const encodeChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Returns endless responses by name; those with a response head start with the given headers. */
export const endlessAnswers = (headers: string): Readonly<Record<string, EndlessAnswer>> => {
  const head = `HTTP/1.1 200 OK\r\n${headers}`;
  const chunkedHead = `${head}transfer-encoding: chunked\r\n\r\n`;
  return {
    'bytes that are no answer': { first: '', repeated: FILLER },
    'blank lines': { first: '', repeated: '\r\n', isDropped: true },
    'a status line': { first: 'HTTP/1.1 200 ', repeated: FILLER, isDropped: true },
    'a header': { first: `${head}x-more: `, repeated: FILLER },
    headers: { first: head, repeated: 'x-more: more\r\n' },
    'informational answers': {
      first: '',
      repeated: 'HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n',
      isDropped: true,
    },
    'a body in chunks': { first: chunkedHead, repeated: encodeChunk(FILLER) },
    'a body without a length': { first: `${head}\r\n`, repeated: FILLER },
    'an extension of a chunk': { first: `${chunkedHead}1;`, repeated: FILLER, isDropped: true },
    'a trailer': { first: `${chunkedHead}0\r\nx-more: `, repeated: FILLER },
  };
};

/** Writes an endless response as fast as its reader accepts it, until the connection closes. */
export const sendWithoutEnd = (socket: Socket, { first, repeated }: EndlessAnswer): void => {
  const batch = Buffer.from(repeated.repeat(Math.ceil(BATCH_BYTES / repeated.length)));
  const send = (): void => {
    while (!socket.destroyed && socket.bytesWritten < MAXIMUM_SENT_BYTES) {
      if (!socket.write(batch)) {
        socket.once('drain', send);
        return;
      }
    }
  };
  // The client closes the connection while bytes are in flight, which is expected.
  socket.on('error', () => undefined);
  socket.write(first);
  send();
};
