import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { RunCallEvent } from '@limpetnotch/peer-protocol';
import { endlessAnswers, sendWithoutEnd } from '@limpetnotch/stand-ins';
import type { AnswerChannel } from '../../src/owner/answerChannel';
import { AnswerRelay } from '../../src/owner/answerRelay';
import { toAttemptError } from '../../src/targets/attemptError';
import { AnswerReader } from '../../src/targets/answerReader';
import { TargetClient } from '../../src/targets/targetClient';
import type { TargetResponse } from '../../src/targets/targetClient';

/** Far longer than the client needs to detect an endless response. */
const TIMEOUT_MILLISECONDS = 8_000;
const PROGRESS_DEADLINE_MILLISECONDS = 1_000;
/** Upper bound of the bytes that an owner reads of one response, plus the kernel buffers. */
const MAXIMUM_READ_BYTES = 32 * 1024 * 1024;

const CASES = Object.entries(endlessAnswers('content-type: text/event-stream\r\n')).flatMap(
  ([bytes, endless]) =>
    (['stream', 'whole'] as const).map((answer) => ({ bytes, answer, endless })),
);

let client: TargetClient;
let server: Server;
let sockets: Socket[];

beforeEach(() => {
  client = new TargetClient();
  sockets = [];
});

afterEach(async () => {
  await client.close();
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

const relayBody = async ({ body }: TargetResponse, answer: 'stream' | 'whole'): Promise<void> => {
  const channel = { push: async () => undefined } as unknown as AnswerChannel<RunCallEvent>;
  const relay = new AnswerRelay(channel);
  const reader = new AnswerReader();
  for await (const bytes of body) {
    if (answer === 'whole') relay.buffer(bytes as Uint8Array);
    else for (const frame of reader.read(bytes as Uint8Array)) await relay.relayEvent(frame);
  }
};

const sendAndRelay = async (answer: 'stream' | 'whole'): Promise<string> => {
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  const sent = await client.send({
    address: `http://127.0.0.1:${port}`,
    method: 'POST',
    pathAndQuery: '/',
    headers: {},
    body: Buffer.from('x'),
    progressDeadlineMilliseconds: PROGRESS_DEADLINE_MILLISECONDS,
    signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
  });
  if (sent.isErr()) return sent.error.kind;
  try {
    await relayBody(sent.value, answer);
    return 'whole';
  } catch (error) {
    return toAttemptError(error, false).kind;
  }
};

test.each(CASES)(
  'endless $bytes in a response that is read as $answer',
  async ({ answer, endless }) => {
    server = createServer((socket) => {
      sockets.push(socket);
      socket.once('data', () => sendWithoutEnd(socket, endless));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const began = performance.now();
    expect(['broken', 'silent']).toContain(await sendAndRelay(answer));
    expect(performance.now() - began).toBeLessThan(TIMEOUT_MILLISECONDS);
    if (!endless.isDropped) expect(sockets[0]!.bytesWritten).toBeLessThan(MAXIMUM_READ_BYTES);
  },
  20_000,
);
