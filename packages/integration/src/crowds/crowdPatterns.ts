import type { Socket } from 'node:net';
import { LARGE_PATH } from '@limpetnotch/stand-ins';
import { headersOf } from './crowdInstance';

/** Limits of the platform's pages. */
const BODY_BYTES = 4_194_304;
const HEADER_BYTES = 16_384;

/** Connections of a crowd; with those to a target, a crowd may need twice as many descriptors. */
const CONNECTIONS = 56;
const SLOW_CONNECTIONS = 90;

const BODY = Buffer.alloc(BODY_BYTES - 1, 'a');

const PIECE = Buffer.alloc(16, 'a');
const PIECES = 8_000;

const ONE_BYTE_CHUNKS = Buffer.from('1\r\na\r\n'.repeat(40_000));

const EXCESSIVE_LENGTH = 1_000_000_000;
const EXCESSIVE_PARTS = 4;
const EXCESSIVE_CHUNK = Buffer.concat([
  Buffer.from(`${BODY.length.toString(16)}\r\n`),
  BODY,
  Buffer.from('\r\n'),
]);

const PIPELINED_REQUESTS = 20_000;
const HEADS_PER_CONNECTION = 64;

/** Where a crowd sends its requests. */
export interface CrowdPlace {
  readonly path: string;
  /** Whether the requests carry the headers of a valid one. */
  readonly isValid: boolean;
}

/** What the callers of one crowd send. */
export interface CrowdPattern {
  readonly name: string;
  readonly connections: number;
  readonly send: (sockets: readonly Socket[], place: CrowdPlace) => Promise<void> | void;
}

const toHead = (
  { path, isValid }: CrowdPlace,
  index: number,
  more: Readonly<Record<string, string>> = {},
): string => {
  const headers = { ...(isValid ? headersOf(`crowd-${index}`) : { host: 'h' }), ...more };
  const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST ${path} HTTP/1.1\r\n${fields.join('')}\r\n`;
};

const withLength = (length: number): Record<string, string> => ({
  'content-length': String(length),
});

const CHUNKED = { 'transfer-encoding': 'chunked' };

/** Lets the receiver read what was sent, so that it doesn't get several pieces at once. */
const waitForReceiver = async (): Promise<void> => {
  await new Promise((resolve) => {
    setTimeout(resolve, 1);
  });
};

/** Returns a head of permitted size whose fields are as short as they can be. */
const toHeadOfManyFields = (place: CrowdPlace, index: number, bodyBytes: number): string => {
  const head = toHead(place, index, withLength(bodyBytes)).slice(0, -2);
  const fields: string[] = [];
  let bytes = head.length + 2;
  for (let field = 0; bytes < HEADER_BYTES - 16; field += 1) {
    const text = `${field.toString(36)}:\r\n`;
    fields.push(text);
    bytes += text.length;
  }
  return `${head}${fields.join('')}\r\n`;
};

const sendSlowly = (sockets: readonly Socket[], place: CrowdPlace): void => {
  sockets.forEach((socket, index) => {
    const head = toHead(place, index, withLength(BODY_BYTES));
    const text = index % 2 === 0 ? head.slice(0, -10) : `${head}begun`;
    socket.write(text);
  });
};

const sendTinyPieces: CrowdPattern['send'] = async (sockets, place) => {
  sockets.forEach((socket, index) => socket.write(toHead(place, index, withLength(BODY_BYTES))));
  for (let piece = 0; piece < PIECES; piece += 1) {
    sockets.forEach((socket) => {
      if (!socket.destroyed && !socket.writableNeedDrain) socket.write(PIECE);
    });
    await waitForReceiver();
  }
};

/** Crowds of callers outside the limits. */
export const CROWD_PATTERNS: readonly CrowdPattern[] = [
  {
    name: 'bodies in one piece that stop short of their end',
    connections: CONNECTIONS,
    send: (sockets, place) =>
      sockets.forEach((socket, index) => {
        socket.write(toHead(place, index, withLength(BODY_BYTES)));
        socket.write(BODY);
      }),
  },
  {
    name: 'bodies in tiny pieces that stop short of their end',
    connections: CONNECTIONS,
    send: sendTinyPieces,
  },
  {
    name: 'bodies in chunks of one byte that stop short of their end',
    connections: CONNECTIONS,
    send: (sockets, place) =>
      sockets.forEach((socket, index) => {
        socket.write(toHead(place, index, CHUNKED));
        socket.write(ONE_BYTE_CHUNKS);
      }),
  },
  {
    name: 'bodies far over the limit',
    connections: CONNECTIONS,
    send: (sockets, place) =>
      sockets.forEach((socket, index) => {
        const isChunked = index % 2 === 0;
        const framing = isChunked ? CHUNKED : withLength(EXCESSIVE_LENGTH);
        socket.write(toHead(place, index, framing));
        for (let part = 0; part < EXCESSIVE_PARTS; part += 1) {
          socket.write(isChunked ? EXCESSIVE_CHUNK : BODY);
        }
      }),
  },
  {
    name: 'heads with very many short fields',
    connections: CONNECTIONS,
    send: (sockets, place) =>
      sockets.forEach((socket, index) => {
        for (let head = 1; head < HEADS_PER_CONNECTION; head += 1) {
          socket.write(toHeadOfManyFields(place, index, 0));
        }
        socket.write(toHeadOfManyFields(place, index, BODY_BYTES));
      }),
  },
  {
    name: 'pipelined requests whose answers are not read',
    connections: CONNECTIONS,
    send: (sockets, place) =>
      sockets.forEach((socket, index) => {
        socket.write(toHead(place, index, withLength(0)).repeat(PIPELINED_REQUESTS));
      }),
  },
  { name: 'heads and bodies that stop half-way', connections: SLOW_CONNECTIONS, send: sendSlowly },
];

/** Callers that never read a large answer. */
export const UNREAD_ANSWERS: CrowdPattern = {
  name: 'large answers that are never read',
  connections: CONNECTIONS,
  send: (sockets) =>
    sockets.forEach((socket, index) => {
      socket.pause();
      socket.write(toHead({ path: `${LARGE_PATH}1`, isValid: true }, index, withLength(0)));
    }),
};
