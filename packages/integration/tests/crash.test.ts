import { join } from 'node:path';
import { buildPrograms } from './signals/buildPrograms';
import { StagedProgram } from './signals/stagedProgram';

jest.setTimeout(120_000);

const CRASH_ON_RESIZE = join(__dirname, 'signals', 'crashOnResize.cjs');

let target = '';
let staged: StagedProgram;

beforeAll(async () => {
  target = await buildPrograms();
});

afterEach(async () => staged.close());

test.each([
  ['entry', 'uncaughtException'],
  ['entry', 'unhandledRejection'],
  ['limpetnotchd', 'uncaughtException'],
  ['limpetnotchd', 'unhandledRejection'],
] as const)('%s logs that an %s ended it', async (program, origin) => {
  staged = await StagedProgram.create(program, target, {
    NODE_OPTIONS: `--require ${CRASH_ON_RESIZE}`,
    CRASH: origin,
  });
  await staged.reach('serving');
  staged.process.signal('SIGWINCH');
  await staged.waitForEnd();
  const { exitCode, signalCode, output } = staged.process;
  expect({ exitCode, signalCode }).toEqual({ exitCode: 1, signalCode: null });
  expect(output).toMatch(new RegExp(`"process.crashed".*"origin":"${origin}".*Error: injected`));
  expect(output).toMatch(/"process.exiting".*"exitCode":1,"reason":"crash"/);
});
