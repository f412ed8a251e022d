import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';

const ROOT = resolve(__dirname, '../../../..');

const run = (script: string, ...words: readonly string[]): Promise<unknown> =>
  promisify(execFile)(process.execPath, [resolve(ROOT, script), ...words], { cwd: ROOT });

/** Builds the programs, which run as processes; resolves to the folder of the bundled ones. */
export const buildPrograms = async (): Promise<string> => {
  await run('node_modules/typescript/bin/tsc', '-b', 'tsconfig.build.json');
  await run('deploy/bundle.mjs');
  return resolve(ROOT, 'target');
};
