import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';

const ROOT = resolve(__dirname, '../../../..');

const runScript = (script: string, ...scriptArguments: readonly string[]): Promise<unknown> =>
  promisify(execFile)(process.execPath, [resolve(ROOT, script), ...scriptArguments], { cwd: ROOT });

/** Builds the programs; resolves to the folder of the bundled ones. */
export const buildPrograms = async (): Promise<string> => {
  await runScript('node_modules/typescript/bin/tsc', '-b', 'tsconfig.build.json');
  await runScript('deploy/bundle.mjs');
  return resolve(ROOT, 'target');
};
