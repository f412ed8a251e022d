import { PassThrough } from 'node:stream';
import { runCli } from '../src';

/** What a run of the command line gave. */
export interface CliRun {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a command line in this process. */
export const runTestCli = async (
  words: readonly string[],
  env: Record<string, string> = {},
): Promise<CliRun> => {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const exitCode = await runCli(words, { stdout, stderr, env });
  return {
    exitCode,
    stdout: String(stdout.read() ?? ''),
    stderr: String(stderr.read() ?? ''),
  };
};
