import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { text } from 'node:stream/consumers';
import { SeededRandom } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { buildPrograms } from './signals/buildPrograms';
import type { ProgramName } from './signals/signalCase';
import { PROGRAM_STATES, SIGNALS, STOP_SIGNALS } from './signals/signalCase';
import { StagedProgram } from './signals/stagedProgram';

jest.setTimeout(120_000);

const PROGRAMS = Object.keys(PROGRAM_STATES) as readonly ProgramName[];
const SEED = 17;
const SIGNAL_COUNT = 200;
const SHORTENED_GRACE_SECONDS = 3;
const MILLISECONDS_PER_SECOND = 1_000;
const REQUEST_HEAD = [
  'POST /a HTTP/1.1',
  'host: a',
  'request-id: 0011223344556677',
  'finish-milliseconds: 20000',
  'content-length: 10',
  '\r\n',
].join('\r\n');

let target = '';
let staged: StagedProgram;

beforeAll(async () => {
  target = await buildPrograms();
});

afterEach(async () => staged.close());

const startServing = async (program: ProgramName): Promise<void> => {
  staged = await StagedProgram.create(program, target);
  await staged.reach('serving');
};

const expectGracefulEnd = async (): Promise<void> => {
  await staged.waitForEnd();
  const { exitCode, signalCode, output } = staged.process;
  expect({ exitCode, signalCode, output }).toMatchObject({ exitCode: 0, signalCode: null });
};

test.each(PROGRAMS)('repeated signals do not end %s', async (program) => {
  await startServing(program);
  const random = new SeededRandom(SEED);
  const harmless = SIGNALS.filter((signal) => !STOP_SIGNALS.has(signal));
  for (let sent = 0; sent < SIGNAL_COUNT; sent += 1) {
    staged.process.signal(random.pick(harmless));
    await delay(random.integer(0, 2));
  }
  const ended = expectGracefulEnd();
  staged.process.signal('SIGTERM');
  while (!staged.process.hasExited) {
    staged.process.signal(random.pick(SIGNALS));
    await delay(random.integer(0, 2));
  }
  await ended;
});

/** Sends a request without the end of its body. */
const sendHalfRequest = async (): Promise<{ socket: Socket; answer: Promise<string> }> => {
  const { hostname, port } = new URL(staged.address);
  const socket = connect(Number(port), hostname);
  await once(socket, 'connect');
  const answer = text(socket);
  socket.write(`${REQUEST_HEAD}01234`);
  // A response to a later request shows that the entry has read the first one.
  await staged.waitUntilServing();
  return { socket, answer };
};

test('a request at a stopping entry gets its complete response', async () => {
  await startServing('entry');
  const { socket, answer } = await sendHalfRequest();
  staged.process.signal('SIGTERM');
  for (let sent = 0; sent < SIGNAL_COUNT; sent += 1) {
    staged.process.signal(sent % 2 === 0 ? 'SIGHUP' : 'SIGTERM');
    await delay(10);
  }
  socket.write('56789');
  const [head = '', body = ''] = (await answer).split('\r\n\r\n');
  expect(head).toMatch(/^HTTP\/1\.1 503 /);
  expect(head.toLowerCase()).toContain(`content-length: ${body.length}`);
  await expectGracefulEnd();
});

// An entry that was stopped while it read a shorter grace period kept the longer one, so that the
// requests under way at the end of the shorter one ended without a response.
test.each(['with a SIGHUP', 'without a signal'])(
  'a grace period that is shortened %s right before a stop is kept',
  async (signalled) => {
    await startServing('entry');
    const { answer } = await sendHalfRequest();
    await staged.changeGrace(SHORTENED_GRACE_SECONDS);
    const kill = setTimeout(
      () => staged.process.signal('SIGKILL'),
      SHORTENED_GRACE_SECONDS * MILLISECONDS_PER_SECOND,
    );
    if (signalled === 'with a SIGHUP') staged.process.signal('SIGHUP');
    staged.process.signal('SIGTERM');
    expect(await answer).toMatch(/^HTTP\/1\.1 503 /);
    await expectGracefulEnd();
    clearTimeout(kill);
  },
);
