import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { delay } from '@limpetnotch/supervision';
import { buildPrograms } from './signals/buildPrograms';

const BUILD_MILLISECONDS = 120_000;

let target = '';

beforeAll(async () => {
  target = await buildPrograms();
}, BUILD_MILLISECONDS);

test('a program continues when its output is no longer read', async () => {
  const child = spawn(process.execPath, [join(target, 'storage.js')], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  const ended = once(child, 'exit');
  await once(child.stderr, 'data');
  child.stderr.destroy();
  // The program logs each signal.
  for (let sent = 0; sent < 5; sent += 1) {
    child.kill('SIGHUP');
    await delay(50);
  }
  expect(child.exitCode).toBeNull();
  child.kill('SIGTERM');
  expect(await ended).toEqual([0, null]);
});
