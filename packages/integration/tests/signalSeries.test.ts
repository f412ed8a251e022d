import { once } from 'node:events';
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

test('a request at a stopping entry gets its complete response', async () => {
  await startServing('entry');
  const { hostname, port } = new URL(staged.address);
  const socket = connect(Number(port), hostname);
  await once(socket, 'connect');
  const answer = text(socket);
  socket.write(`${REQUEST_HEAD}01234`);
  // A response to a later request shows that the entry has read the first one.
  await staged.waitUntilServing();
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
