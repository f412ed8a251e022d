import { PassThrough } from 'node:stream';
import { runCli } from '../src';

/** Result of a run of the command line. */
export interface CliRun {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a command line in this process. */
export const runTestCli = async (
  commandArguments: readonly string[],
  env: Record<string, string> = {},
): Promise<CliRun> => {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const exitCode = await runCli(commandArguments, { stdout, stderr, env });
  return {
    exitCode,
    stdout: String(stdout.read() ?? ''),
    stderr: String(stderr.read() ?? ''),
  };
};
