import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { RunCallEvent } from '@limpetnotch/peer-protocol';
import { endlessAnswers, sendWithoutEnd } from '@limpetnotch/stand-ins';
import type { AnswerChannel } from '../../src/owner/answerChannel';
import { AnswerRelay } from '../../src/owner/answerRelay';
import { attemptErrorOf } from '../../src/targets/attemptError';
import { AnswerReader } from '../../src/targets/answerReader';
import { TargetClient } from '../../src/targets/targetClient';
import type { TargetResponse } from '../../src/targets/targetClient';

/** Far longer than an answer takes to show that it is endless. */
const TIMEOUT_MILLISECONDS = 8_000;
const PROGRESS_MILLISECONDS = 1_000;
/** What an owner takes of one answer at most, with what waits in the kernel's buffers. */
const TAKEN_BYTES = 32 * 1024 * 1024;

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

const relayTo = async ({ body }: TargetResponse, answer: 'stream' | 'whole'): Promise<void> => {
  const channel = { push: async () => undefined } as unknown as AnswerChannel<RunCallEvent>;
  const relay = new AnswerRelay(channel);
  const reader = new AnswerReader();
  for await (const bytes of body) {
    if (answer === 'whole') relay.hold(bytes as Uint8Array);
    else for (const frame of reader.read(bytes as Uint8Array)) await relay.frame(frame);
  }
};

const attempt = async (answer: 'stream' | 'whole'): Promise<string> => {
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  const sent = await client.send({
    address: `http://127.0.0.1:${port}`,
    method: 'POST',
    pathAndQuery: '/',
    headers: {},
    body: Buffer.from('x'),
    progressDeadlineMilliseconds: PROGRESS_MILLISECONDS,
    signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
  });
  if (sent.isErr()) return sent.error.kind;
  try {
    await relayTo(sent.value, answer);
    return 'whole';
  } catch (error) {
    return attemptErrorOf(error, false).kind;
  }
};

test.each(CASES)(
  '$bytes without end as an answer taken as a $answer',
  async ({ answer, endless }) => {
    server = createServer((socket) => {
      sockets.push(socket);
      socket.once('data', () => sendWithoutEnd(socket, endless));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const began = performance.now();
    expect(['broken', 'silent']).toContain(await attempt(answer));
    expect(performance.now() - began).toBeLessThan(TIMEOUT_MILLISECONDS);
    if (!endless.isDropped) expect(sockets[0]!.bytesWritten).toBeLessThan(TAKEN_BYTES);
  },
  20_000,
);
